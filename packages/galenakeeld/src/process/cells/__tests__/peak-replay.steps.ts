import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {install} from '@sinonjs/fake-timers';
import {
	replayLoad, type LoadQueue, type ReplayedLoad, type ReplayResult,
} from './replay-load.js';

type ReplayWorld = {
	peak: number;
	inZones: ReadonlyMap<string, number>;
	inOne: ReadonlyMap<string, number>;
};

const lateValueShare = 0.2;
const troughOverPeak = 0.29;
const wavePeriodSeconds = 17;
const endpoints = 32;
const zones = ['north', 'east', 'south', 'west'];
const sharesOfZones = [0.21, 0.27, 0.235, 0.285];

const queues: readonly LoadQueue[] = [
	{
		name: 'cell-check', priority: 0, jobsEachSecond: 21.2, tasks: 8, milliseconds: 51,
	},
	{
		name: 'sheet-rerate', priority: 2, jobsEachSecond: 3.85, tasks: 4, milliseconds: 760,
	},
	{
		name: 'load-grade', priority: 1, jobsEachSecond: 61.6, tasks: 2, milliseconds: 170,
	},
];

const createLoad = (peak: number, seed: number, places: readonly string[], shares: readonly number[]): ReplayedLoad => ({
	seed, seconds: wavePeriodSeconds, peak, trough: peak * troughOverPeak, wavePeriodSeconds, zones: places, shares, endpointsInZone: endpoints / places.length, queues,
});

const replay = async (load: ReplayedLoad): Promise<readonly ReplayResult[]> => {
	const clock = install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate', 'Date'], shouldClearNativeTimers: true});
	try {
		return await replayLoad(load, clock);
	} finally {
		clock.uninstall();
	}
};

/** Served share of the jobs of each queue; a late answer counts in part. */
const replaySeeds = async (peak: number, seeds: readonly number[], places: readonly string[], shares: readonly number[]): Promise<ReadonlyMap<string, number>> => {
	const submittedByQueue = new Map<string, number>();
	const served = new Map<string, number>();
	for (const seed of seeds) {
		for (const result of await replay(createLoad(peak, seed, places, shares))) {
			submittedByQueue.set(result.queue, (submittedByQueue.get(result.queue) ?? 0) + result.submitted);
			served.set(result.queue, (served.get(result.queue) ?? 0) + result.inTime + (lateValueShare * result.late));
		}
	}

	return new Map([...served].map(([queue, count]) => [queue, count / submittedByQueue.get(queue)!]));
};

/** Mean over the queues with equal weights, so that no queue is neglected. */
const meanOf = (served: ReadonlyMap<string, number>): number => {
	let sum = 0;
	for (const share of served.values()) {
		sum += share;
	}

	return sum / served.size;
};

Given('a load in waves, whose peak is {float} times its mean', function (this: ReplayWorld, peak: number) {
	this.peak = peak;
});

When('it is replayed with seeds {string} on cells of four zones, and on one cell of all endpoints', {timeout: 300_000}, async function (this: ReplayWorld, text: string) {
	const seeds = text.split(',').map(Number);
	this.inZones = await replaySeeds(this.peak, seeds, zones, sharesOfZones);
	this.inOne = await replaySeeds(this.peak, seeds, ['all'], [1]);
});

Then('the cells of four zones serve at most {float} less of it', function (this: ReplayWorld, most: number) {
	const [zonesServe, oneServes] = [meanOf(this.inZones), meanOf(this.inOne)];
	assert.ok(zonesServe >= oneServes - most, `${zonesServe.toFixed(3)} in zones, ${oneServes.toFixed(3)} in one`);
});

Then('each queue is served at least half as well as the whole', function (this: ReplayWorld) {
	const mean = meanOf(this.inZones);
	for (const [queue, share] of this.inZones) {
		assert.ok(share >= mean / 2, `${queue}: ${share.toFixed(3)} of ${mean.toFixed(3)}`);
	}
});
