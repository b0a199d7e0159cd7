import type {Arrival} from '../request/arrival.js';
import {computeIdeal} from './ideal-queue.js';
import {createArrivals, type LoadPhase} from './load-plan.js';
import type {TaskMix} from './task-mix.js';

/**
Arrivals with the response of the ideal to each.
*/
export type PlannedLoad = {
	/** Share of the capacity that the arrivals ask for. */
	readonly load: number;
	readonly arrivals: readonly Arrival[];
	/** Response of the one-queue ideal to each arrival, in milliseconds. */
	readonly ideal: readonly number[];
	/** Arrivals before this time warm the estimates up and are not measured. */
	readonly warmUpMilliseconds: number;
};

const sumOf = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
};

/**
Computes the rate at which tasks of a mix keep all slots busy.

@param slotSpeeds Speed of each slot.
@returns Tasks a second.
*/
export const capacityOf = (mix: TaskMix, slotSpeeds: readonly number[]): number => sumOf(slotSpeeds) * 1000 / mix.meanRunMilliseconds;

/**
Plans load at a constant share of the capacity: a warm-up and a measured stretch.

@example
```
const planned = planLoad({seed: 1, load: 0.7, mix: createOrdinaryMix(), slotSpeeds, daemonShares, warmUpMilliseconds: 3000, measuredMilliseconds: 10_000});
```
*/
export const planLoad = (options: {
	readonly seed: number;
	readonly load: number;
	readonly mix: TaskMix;
	readonly slotSpeeds: readonly number[];
	readonly daemonShares: readonly number[];
	readonly warmUpMilliseconds: number;
	readonly measuredMilliseconds: number;
}): PlannedLoad => {
	const {seed, load, mix, slotSpeeds, daemonShares, warmUpMilliseconds} = options;
	const phases: readonly LoadPhase[] = [{
		durationMilliseconds: warmUpMilliseconds + options.measuredMilliseconds, tasksPerSecond: load * capacityOf(mix, slotSpeeds),
	}];
	const arrivals = createArrivals({
		seed, phases, mix, daemonShares,
	});
	return {
		load, arrivals, ideal: computeIdeal(arrivals, slotSpeeds), warmUpMilliseconds,
	};
};
