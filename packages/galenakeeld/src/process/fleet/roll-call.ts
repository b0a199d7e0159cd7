import {performance} from 'node:perf_hooks';

/**
A short time in which the daemons of a zone exchange heartbeats at the short interval, to find out who is alive.
*/
export type RollCall = {
	readonly start: () => void;
	/** Whether a peer takes part in a roll call that is in progress. */
	readonly includes: (address: string) => boolean;
	/** The peers that have to be heard; none while no roll call is in progress. */
	readonly expected: () => readonly string[];
};

const durationMilliseconds = 1500;

/**
Creates a roll call that has not started.

@param peersOfZone Addresses of the reachable daemons of the zone.

@example
```
const rollCall = createRollCall(() => ['10.1.0.13:7720']);
rollCall.start();
rollCall.includes('10.1.0.13:7720'); // => true
```
*/
export const createRollCall = (peersOfZone: () => readonly string[]): RollCall => {
	let endsAt = Number.NEGATIVE_INFINITY;
	let members: ReadonlySet<string> = new Set();

	const isInProgress = (): boolean => performance.now() < endsAt;

	return {
		start() {
			endsAt = performance.now() + durationMilliseconds;
			members = new Set(peersOfZone());
		},
		includes: address => isInProgress() && members.has(address),
		expected: () => isInProgress() ? [...members] : [],
	};
};
