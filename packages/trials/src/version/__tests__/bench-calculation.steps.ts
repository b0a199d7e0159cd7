import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Arrival} from '../../request/arrival.js';
import {computeIdeal} from '../ideal-queue.js';
import {createArrivals} from '../load-plan.js';
import {compareResponses} from '../response-figures.js';
import {createOrdinaryMix} from '../task-mix.js';

type CalculationWorld = {
	draws: ReadonlyArray<readonly Arrival[]>;
	speeds: readonly number[];
	ideal: readonly number[];
	compared: ReturnType<typeof compareResponses>;
};

const draw = (seed: number): readonly Arrival[] => createArrivals({
	seed, phases: [{durationMilliseconds: 2000, tasksPerSecond: 100}], mix: createOrdinaryMix(), daemonShares: [0.7, 0.3],
});

const numbersOf = (text: string): readonly number[] => text.split(', ').map(Number);

When('arrivals are drawn twice with seed 7 and once with seed 8', function (this: CalculationWorld) {
	this.draws = [draw(7), draw(7), draw(8)];
});

Then('the two draws with seed 7 are equal', function (this: CalculationWorld) {
	assert.deepEqual(this.draws[0], this.draws[1]);
});

Then('the draw with seed 8 differs', function (this: CalculationWorld) {
	assert.notDeepEqual(this.draws[0], this.draws[2]);
});

Then('the arrivals are ordered by time and reach every daemon', function (this: CalculationWorld) {
	const times = this.draws[0]!.map(({at}) => at);
	assert.deepEqual(times, times.toSorted((first, second) => first - second));
	assert.deepEqual(new Set(this.draws[0]!.map(({daemon}) => daemon)), new Set([0, 1]));
});

Given('slots of speed {string}', function (this: CalculationWorld, speeds: string) {
	this.speeds = numbersOf(speeds);
});

When('tasks arrive at {string} ms that run {string} ms', function (this: CalculationWorld, times: string, runs: string) {
	const runMilliseconds = numbersOf(runs);
	this.ideal = computeIdeal(numbersOf(times).map((at, position) => ({at, runMilliseconds: runMilliseconds[position]!})), this.speeds);
});

Then('the ideal answers them after {string} ms', function (this: CalculationWorld, responses: string) {
	assert.deepEqual(this.ideal, numbersOf(responses));
});

Given('tasks that run {string} ms, with responses of {string} ms where the ideal gives {string} ms', function (this: CalculationWorld, runs: string, responses: string, ideals: string) {
	const runMilliseconds = numbersOf(runs);
	const ideal = numbersOf(ideals);
	const tasks = numbersOf(responses).map((responseMilliseconds, position) => ({
		outcome: Outcome.Complete, responseMilliseconds, idealMilliseconds: ideal[position]!, arrival: {runMilliseconds: runMilliseconds[position]!},
	}));
	this.compared = compareResponses(tasks, 1);
});

Then('the median over the ideal is {float} and the 99th percentile is {float}', function (this: CalculationWorld, median: number, tail: number) {
	assert.equal(this.compared.p50OverIdeal, median);
	assert.equal(this.compared.p99OverIdeal, tail);
});
