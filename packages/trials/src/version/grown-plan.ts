import {createRandom} from '../request/random.js';

/**
A load that swings around its mean like a wave.
*/
export type WaveLoad = {
	readonly seconds: number;
	readonly jobsPerSecond: number;
	/** Amplitude as a share of the mean. */
	readonly swing: number;
	readonly periodSeconds: number;
	/** Where the wave begins, as a share of the period. */
	readonly phase: number;
};

/**
Faults of the daemons of a zone.
*/
export enum GrownFault {
	/** The owner of the zone's cell is stopped by a signal and continued. */
	OwnerStalled = 'owner-stalled',
	OwnerKilled = 'owner-killed',
	/** A daemon that doesn't own the cell is killed. */
	HolderKilled = 'holder-killed',
	AllKilled = 'all-killed',
}

/**
A fault at its time.
*/
export type PlannedGrownFault = {
	readonly fault: GrownFault;
	/** Milliseconds from the start of the load. */
	readonly at: number;
	readonly forMilliseconds: number;
	/** Picks what is struck: the remainder by the number of candidates. */
	readonly target: number;
};

const millisecondsOfSecond = 1000;
const firstFaultMilliseconds = 5000;
const leastGapMilliseconds = 3000;
const mostGapMilliseconds = 6000;
const leastFaultMilliseconds = 800;
const mostFaultMilliseconds = 1500;
const mostTarget = 1000;

/**
Plans the arrivals of a Poisson process whose rate is a wave, by thinning (Lewis and Shedler, 1979).

@returns Milliseconds from the start of the load, in ascending order.

@example
```
const arrivals = planArrivals(7, {seconds: 30, jobsPerSecond: 140, swing: 0.55, periodSeconds: 15, phase: 0.1});
```
*/
export const planArrivals = (seed: number, {seconds, jobsPerSecond, swing, periodSeconds, phase}: WaveLoad): readonly number[] => {
	const random = createRandom(seed);
	const mostPerSecond = jobsPerSecond * (1 + swing);
	const arrivals: number[] = [];
	for (let at = 0; ;) {
		at -= Math.log(1 - random.fraction()) / mostPerSecond;
		if (at >= seconds) {
			return arrivals;
		}

		const rate = jobsPerSecond * (1 + (swing * Math.sin(2 * Math.PI * ((at / periodSeconds) + phase))));
		if (random.fraction() * mostPerSecond < rate) {
			arrivals.push(at * millisecondsOfSecond);
		}
	}
};

/**
Plans faults one after the other, the same for the same seed.

@param kinds Kinds to choose from; none plans no fault.

@example
```
for (const {fault, at} of planGrownFaults(7, 60, [GrownFault.OwnerStalled])) {
```
*/
export const planGrownFaults = (seed: number, seconds: number, kinds: readonly GrownFault[]): readonly PlannedGrownFault[] => {
	const random = createRandom(seed);
	const planned: PlannedGrownFault[] = [];
	if (kinds.length === 0) {
		return planned;
	}

	for (let at = firstFaultMilliseconds; at < seconds * millisecondsOfSecond; at += random.integer(leastGapMilliseconds, mostGapMilliseconds)) {
		planned.push({
			fault: random.pick(kinds), at, forMilliseconds: random.integer(leastFaultMilliseconds, mostFaultMilliseconds), target: random.integer(0, mostTarget),
		});
	}

	return planned;
};
