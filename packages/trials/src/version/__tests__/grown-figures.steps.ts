import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	drawJob, earnedShare, type JobOutcome, type EndedJob,
} from '../../request/grown-job.js';
import {createRandom} from '../../request/random.js';
import {figuresOf, worstZoneEarned} from '../grown-figures.js';
import {
	planArrivals, planGrownFaults, type PlannedGrownFault, type WaveLoad,
} from '../grown-plan.js';

type FiguresWorld = {
	endedJobs?: EndedJob[];
	wave: WaveLoad;
	seed: number;
	arrivals: readonly number[];
	planned: readonly PlannedGrownFault[];
};

const addJob = (world: FiguresWorld, zone: string, outcome: string): void => {
	const drawn = drawJob(createRandom(1), 1);
	const {tasks, milliseconds} = drawn.jobClass;
	world.endedJobs ??= [];
	world.endedJobs.push({
		job: {...drawn, tasks: tasks.mean, milliseconds: milliseconds.mean}, zone, arrivedAt: 0, milliseconds: 1, resends: 0, outcome: outcome as JobOutcome,
	});
};

Given('a job of its kind\'s mean size that was answered {string}', function (this: FiguresWorld, outcome: string) {
	addJob(this, 'north', outcome);
});

Given('a job of its kind\'s mean size in {string} that was answered {string}', function (this: FiguresWorld, zone: string, outcome: string) {
	addJob(this, zone, outcome);
});

Then('the share that was earned is {float}', function (this: FiguresWorld, share: number) {
	assert.ok(Math.abs(earnedShare(this.endedJobs!) - share) < 1e-9);
});

Then('{int} of the jobs were served', function (this: FiguresWorld, jobs: number) {
	assert.equal(figuresOf(this.endedJobs!).served * this.endedJobs!.length, jobs);
});

Then('the worst zone earned {float}', function (this: FiguresWorld, share: number) {
	assert.equal(worstZoneEarned(this.endedJobs!), share);
});

When('arrivals at {int} a second that swing by {float} in {int} s are planned for {int} s with seed {int}', function (this: FiguresWorld, jobsPerSecond: number, swing: number, periodSeconds: number, seconds: number, seed: number) {
	this.seed = seed;
	this.wave = {
		seconds, jobsPerSecond, swing, periodSeconds, phase: 0,
	};
	this.arrivals = planArrivals(seed, this.wave);
});

Then('their number is {int} within {int}%', function (this: FiguresWorld, count: number, percent: number) {
	assert.ok(Math.abs(this.arrivals.length - count) <= count * percent / 100, String(this.arrivals.length));
});

Then('{float} to {float} times as many arrive in the first half as in the second', function (this: FiguresWorld, least: number, most: number) {
	const half = this.wave.seconds * 1000 / 2;
	const first = this.arrivals.filter(at => at < half).length;
	const ratio = first / (this.arrivals.length - first);
	assert.ok(ratio >= least && ratio <= most, String(ratio));
});

Then('the same seed plans the same arrivals', function (this: FiguresWorld) {
	assert.deepEqual(planArrivals(this.seed, this.wave), this.arrivals);
});

When('faults are planned for {int} s with seed {int} and no kinds', function (this: FiguresWorld, seconds: number, seed: number) {
	this.planned = planGrownFaults(seed, seconds, []);
});

Then('{int} faults are planned', function (this: FiguresWorld, count: number) {
	assert.equal(this.planned.length, count);
});
