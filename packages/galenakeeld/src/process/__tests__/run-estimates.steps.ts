import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {isLongRun} from '../long-task-share.js';
import {createRunEstimates, type RunEstimates} from '../run-estimates.js';

type EstimatesWorld = {estimates: RunEstimates};

const isLongKind = ({estimates}: EstimatesWorld, kind: string): boolean => isLongRun(estimates.ofKind(kind), estimates.ofService());

Given('estimates for the kind {string} declared as {int} ms', function (this: EstimatesWorld, kind: string, runMilliseconds: number) {
	this.estimates = createRunEstimates();
	this.estimates.declare({kinds: {[kind]: {runMilliseconds}}});
});

When('{int} tasks of {string} run for {int} ms each on endpoints of equal speed', function (this: EstimatesWorld, count: number, kind: string, duration: number) {
	for (let number = 0; number < count; number++) {
		this.estimates.record(`worker-${number % 2}`, 1, kind, duration);
	}
});

When('{int} tasks of {string} run on an endpoint of speed 1 and one of speed 4', function (this: EstimatesWorld, count: number, kind: string) {
	for (let number = 0; number < count; number++) {
		const work = 60 + ((number * 37) % 80);
		this.estimates.record('worker-slow', 1, kind, work);
		this.estimates.record('worker-fast', 1, kind, work / 4);
	}
});

Then('the expected run time of {string} is {int} to {int} ms', function (this: EstimatesWorld, kind: string, from: number, to: number) {
	const {typical} = this.estimates.ofKind(kind);
	assert.ok(typical >= from && typical <= to, `${typical} ms`);
});

Then('the second endpoint is estimated {float} to {float} times as fast as the first', function (this: EstimatesWorld, from: number, to: number) {
	const ratio = this.estimates.speed('worker-fast', 1) / this.estimates.speed('worker-slow', 1);
	assert.ok(ratio >= from && ratio <= to, String(ratio));
});

Then('{string} counts as long', function (this: EstimatesWorld, kind: string) {
	assert.equal(isLongKind(this, kind), true);
});

Then('{string} does not count as long', function (this: EstimatesWorld, kind: string) {
	assert.equal(isLongKind(this, kind), false);
});
