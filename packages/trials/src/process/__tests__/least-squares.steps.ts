import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {fitLine, type Line} from '../least-squares.js';

const tolerance = 0.0001;

const assertNear = (actual: number, expected: number): void => {
	assert.ok(Math.abs(actual - expected) <= tolerance * Math.max(1, Math.abs(expected)), `${actual} is not ${expected}`);
};

const bounded = fc.integer({min: -1000, max: 1000});

Then('the fit of points on any line is that line with no residual', () => {
	fc.assert(fc.property(bounded, bounded, fc.uniqueArray(fc.nat(3200), {minLength: 2}), (slope, intercept, sizes) => {
		const line = fitLine(sizes.map(size => ({size, value: intercept + (slope * size)})));
		assertNear(line.slope, slope);
		assertNear(line.intercept, intercept);
		assertNear(line.residual, 0);
	}));
});

When('the values {int}, {int} and {int} are measured at the sizes 0, 1 and 2', function (this: {line: Line}, first: number, second: number, third: number) {
	this.line = fitLine([first, second, third].map((value, size) => ({size, value})));
});

Then('the slope is {float}, the intercept {float} and the residual {float}', function (this: {line: Line}, slope: number, intercept: number, residual: number) {
	assertNear(this.line.slope, slope);
	assertNear(this.line.intercept, intercept);
	assertNear(this.line.residual, residual);
});

Then('fitting values at one size throws a RangeError', () => {
	assert.throws(() => fitLine([{size: 3, value: 1}, {size: 3, value: 2}]), RangeError);
});
