import {createRandom} from '../request/random.js';

/**
What a soak does to the fleet.
*/
export enum SoakFault {
	DaemonKilled = 'daemon-killed',
	/** Stopped by a signal, and continued later. */
	DaemonPaused = 'daemon-paused',
	/** Told to leave, and started anew. */
	DaemonLeaves = 'daemon-leaves',
	DaemonClockSteps = 'daemon-clock-steps',
	DaemonCutFromStore = 'daemon-cut-from-store',
	/** The daemon's calls reach the store, and no answer comes back. */
	DaemonHearsNoStore = 'daemon-hears-no-store',
	AllDaemonsKilled = 'all-daemons-killed',
	StoreBusy = 'store-busy',
	StoreSilent = 'store-silent',
	StoreLosesAnswers = 'store-loses-answers',
	StoreHasNoHistory = 'store-has-no-history',
	ConfigurationChanges = 'configuration-changes',
	EndpointCrashes = 'endpoint-crashes',
	EndpointFailsAll = 'endpoint-fails-all',
	EndpointStartsLate = 'endpoint-starts-late',
	EndpointLosesAnswers = 'endpoint-loses-answers',
	EndpointLosesLooks = 'endpoint-loses-looks',
	EndpointStalls = 'endpoint-stalls',
	EndpointSilent = 'endpoint-silent',
	EndpointResets = 'endpoint-resets',
	EndpointRefuses = 'endpoint-refuses',
	/** Open connections carry nothing any more; new ones work. */
	EndpointConnectionsSilent = 'endpoint-connections-silent',
	EndpointDelayed = 'endpoint-delayed',
}

/**
A fault at its time.
*/
export type PlannedFault = {
	readonly fault: SoakFault;
	/** Milliseconds from the start of the load. */
	readonly at: number;
	readonly forMilliseconds: number;
	/** Picks what is struck: the remainder by the number of daemons or endpoints. */
	readonly target: number;
};

const firstMilliseconds = 1000;
const mostGapMilliseconds = 2500;
const leastLastMilliseconds = 200;
const mostLastMilliseconds = 3500;
const mostTarget = 1000;
/** Share of the faults that follow the one before at once, so that they overlap. */
const overlapShare = 0.4;

/**
Plans the faults of a soak, the same for the same seed: some in series, some overlapping.

@param milliseconds Length of the load; no fault begins later.

@example
```
for (const {fault, at} of planSoak(7, 60_000)) {
```
*/
export const planSoak = (seed: number, milliseconds: number): readonly PlannedFault[] => {
	const random = createRandom(seed);
	const planned: PlannedFault[] = [];
	const kinds = Object.values(SoakFault);
	let at = firstMilliseconds;
	while (at < milliseconds) {
		const forMilliseconds = random.integer(leastLastMilliseconds, mostLastMilliseconds);
		planned.push({
			fault: random.pick(kinds), at, forMilliseconds, target: random.integer(0, mostTarget),
		});
		at += random.fraction() < overlapShare ? random.integer(0, leastLastMilliseconds) : random.integer(leastLastMilliseconds, mostGapMilliseconds);
	}

	return planned;
};
