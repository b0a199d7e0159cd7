import {createRandom} from '../request/random.js';
import type {SoakProfile} from './soak-profile.js';

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
	/** Each daemon is killed and started anew; the next one is killed before it is back. */
	DaemonsKilledInTurn = 'daemons-killed-in-turn',
	/** The owner of a zone's first cell. */
	OwnerKilled = 'owner-killed',
	OwnerPaused = 'owner-paused',
	/** The daemon with the most open calls. */
	HolderKilled = 'holder-killed',
	HolderPaused = 'holder-paused',
	/** The streams that a daemon receives from its peers are reset. */
	PeerStreamsReset = 'peer-streams-reset',
	/** Those that are open now carry nothing any more; new ones work. */
	PeerStreamsSilent = 'peer-streams-silent',
	StoreBusy = 'store-busy',
	StoreSilent = 'store-silent',
	StoreLosesAnswers = 'store-loses-answers',
	StoreHasNoHistory = 'store-has-no-history',
	ConfigurationChanges = 'configuration-changes',
	EndpointCrashes = 'endpoint-crashes',
	/** Its connections break, and for a time nothing listens there. */
	EndpointKilled = 'endpoint-killed',
	/** It carries calls out when it goes on. */
	EndpointPaused = 'endpoint-paused',
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
/** Longest time from one fault to the next that follows at once. */
const mostOverlapMilliseconds = 200;
const mostTarget = 1000;
/** Share of the faults that follow the one before at once, so that they overlap. */
const overlapShare = 0.4;

/**
Plans the faults of a soak, the same for the same seed: some in series, some overlapping.

@param milliseconds Length of the load; no fault begins later.

@example
```
for (const {fault, at} of planSoak(7, 60_000, soakProfiles.any)) {
```
*/
export const planSoak = (seed: number, milliseconds: number, profile: SoakProfile): readonly PlannedFault[] => {
	const random = createRandom(seed);
	const planned: PlannedFault[] = [];
	let at = firstMilliseconds;
	while (at < milliseconds) {
		const forMilliseconds = random.integer(profile.leastLastMilliseconds, profile.mostLastMilliseconds);
		planned.push({
			fault: random.pick(profile.faults), at, forMilliseconds, target: random.integer(0, mostTarget),
		});
		at += random.fraction() < overlapShare ? random.integer(0, mostOverlapMilliseconds) : random.integer(mostOverlapMilliseconds, profile.mostGapMilliseconds);
	}

	return planned;
};
