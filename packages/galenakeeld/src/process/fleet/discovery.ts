import {performance} from 'node:perf_hooks';

/**
Tells whether this daemon has heard enough of its zone to conclude that a cell has no owner.

After its start, after a pause of its process, and after it was cut off, a daemon hears the owners only one after the other. Until all daemons of its zone that may be alive have had time to send a heartbeat, a missing claim proves nothing.
*/
export type Discovery = {
	readonly isOver: () => boolean;
	/** Begins anew, because this daemon was unable to receive heartbeats. */
	readonly restart: () => void;
	/** Adds daemons of the zone whose heartbeats are awaited. */
	readonly expect: (addresses: readonly string[]) => void;
	/** Records that nothing listens at an address. */
	readonly recordRefused: (address: string) => void;
};

export type DiscoveryOptions = {
	/** Monotonic milliseconds of the last heartbeat of a daemon; undefined if it isn't reachable. */
	readonly lastHeardAt: (address: string) => number | undefined;
	readonly hasReachablePeers: () => boolean;
};

const minimumMilliseconds = 300;
/** After this time, a daemon that was not heard counts as lost. */
const maximumMilliseconds = 1000;
/** The same while no peer is reachable. */
const withoutPeersMilliseconds = 3000;

/**
Creates a discovery that begins now.

@example
```
const discovery = createDiscovery({lastHeardAt: address => view.get(address)?.lastHeartbeatAt, hasReachablePeers: () => view.all().length > 0});
discovery.expect(['10.1.0.13:7720']);
discovery.isOver();
```
*/
export const createDiscovery = ({lastHeardAt, hasReachablePeers}: DiscoveryOptions): Discovery => {
	let startedAt = performance.now();
	/** Whether the daemons of the zone have been listed. */
	let isListed = false;
	const expected = new Set<string>();
	const refused = new Set<string>();

	const isAnswered = (address: string): boolean => refused.has(address) || (lastHeardAt(address) ?? Number.NEGATIVE_INFINITY) >= startedAt;

	return {
		isOver() {
			const elapsed = performance.now() - startedAt;
			if (!hasReachablePeers()) {
				return elapsed > withoutPeersMilliseconds;
			}

			if (elapsed <= minimumMilliseconds) {
				return false;
			}

			return elapsed > maximumMilliseconds || (isListed && [...expected].every(address => isAnswered(address)));
		},
		restart() {
			startedAt = performance.now();
			refused.clear();
		},
		expect(addresses) {
			isListed = true;
			for (const address of addresses) {
				expected.add(address);
			}
		},
		recordRefused(address) {
			refused.add(address);
		},
	};
};
