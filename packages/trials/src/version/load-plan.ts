import type {Arrival} from '../request/arrival.js';
import {createRandom, type Random} from '../request/random.js';
import type {TaskMix} from './task-mix.js';

/**
A stretch of time with one rate of arrivals.
*/
export type LoadPhase = {readonly durationMilliseconds: number; readonly tasksPerSecond: number};

/**
Everything that the arrivals of a run follow from.
*/
export type LoadPlan = {
	readonly seed: number;
	readonly phases: readonly LoadPhase[];
	readonly mix: TaskMix;
	/** Share of the callers that are connected to each daemon; they sum up to 1. */
	readonly daemonShares: readonly number[];
};

const drawDaemon = (random: Random, shares: readonly number[]): number => {
	let rest = random.fraction();
	for (const [position, share] of shares.entries()) {
		rest -= share;
		if (rest < 0) {
			return position;
		}
	}

	return shares.length - 1;
};

// The gaps of a Poisson process are exponentially distributed.
const drawGap = (random: Random, tasksPerSecond: number): number => -Math.log(1 - random.fraction()) * 1000 / tasksPerSecond;

/**
Draws the arrivals of a run: a Poisson process with the rate of each phase. Equal plans give equal arrivals.

@returns The arrivals in the order of their times.

@example
```
const arrivals = createArrivals({seed: 1, phases: [{durationMilliseconds: 10_000, tasksPerSecond: 500}], mix: createOrdinaryMix(), daemonShares: [0.5, 0.5]});
```
*/
export const createArrivals = ({seed, phases, mix, daemonShares}: LoadPlan): readonly Arrival[] => {
	const random = createRandom(seed);
	const arrivals: Arrival[] = [];
	let phaseStart = 0;
	for (const {durationMilliseconds, tasksPerSecond} of phases) {
		const phaseEnd = phaseStart + durationMilliseconds;
		for (let at = phaseStart + drawGap(random, tasksPerSecond); at < phaseEnd; at += drawGap(random, tasksPerSecond)) {
			arrivals.push({
				name: `${seed}-${arrivals.length}`, at, daemon: drawDaemon(random, daemonShares), ...mix.draw(random),
			});
		}

		phaseStart = phaseEnd;
	}

	return arrivals;
};
