import {performance} from 'node:perf_hooks';
import type {Heartbeat, CellLoad} from '@galenakeel/model/connection/fleet-message.js';
import type {Claimant} from './cell-claims.js';

/**
A peer, as described by its last heartbeat.
*/
export type Peer = Claimant & {
	readonly instance: string;
	/** Arrival of its last heartbeat, in monotonic milliseconds. */
	readonly lastHeartbeatAt: number;
	readonly silentAfterMilliseconds: number;
	/** Total of this daemon's own pauses when the last heartbeat arrived, in milliseconds. */
	readonly pausesBefore: number;
	readonly loads: ReadonlyMap<string, CellLoad>;
	/** Last update of the loads, in monotonic milliseconds. */
	readonly loadsUpdatedAt: number;
	readonly configurationVersion: number;
	readonly known: readonly string[];
};

/**
The peers from which this daemon receives heartbeats.
*/
export type FleetView = {
	/** Records a heartbeat. Returns whether the peer is new or has restarted. */
	readonly receiveHeartbeat: (heartbeat: Heartbeat) => boolean;
	/** Records the load of a peer's cell between two heartbeats. */
	readonly receiveLoad: (address: string, cell: string, load: CellLoad) => void;
	/** Removes a peer immediately, because nothing listens at its address any more, and returns it. */
	readonly remove: (address: string) => Peer | undefined;
	/** Excludes a pause of this daemon, in which it could receive nothing, from the silence of its peers. */
	readonly excludePause: (milliseconds: number) => void;
	/** Removes the peers whose heartbeats have stopped, and returns them. */
	readonly removeSilent: () => readonly Peer[];
	readonly get: (address: string) => Peer | undefined;
	readonly all: () => readonly Peer[];
};

const toPeer = (heartbeat: Heartbeat, pausesBefore: number): Peer => ({
	pausesBefore,
	instance: heartbeat.instance,
	address: heartbeat.address,
	zone: heartbeat.zone,
	startedAt: heartbeat.startedAt,
	processor: heartbeat.processor,
	silentAfterMilliseconds: heartbeat.silentAfterMilliseconds,
	isLeaving: heartbeat.isLeaving,
	claims: new Map(heartbeat.claims.map(({cell, token, term}) => [cell, {token, term}])),
	loads: new Map(heartbeat.claims.map(({cell, load}) => [cell, load])),
	configurationVersion: heartbeat.configurationVersion,
	known: heartbeat.known,
	lastHeartbeatAt: performance.now(),
	loadsUpdatedAt: performance.now(),
});

/**
Creates an empty view.

@example
```
const view = createFleetView();
view.receiveHeartbeat(heartbeat);
view.get('10.1.0.13:7720')?.zone;
```
*/
export const createFleetView = (): FleetView => {
	const peers = new Map<string, Peer>();
	let pauses = 0;

	const remove = (address: string): Peer | undefined => {
		const peer = peers.get(address);
		peers.delete(address);
		return peer;
	};

	return {
		receiveHeartbeat(heartbeat) {
			const before = peers.get(heartbeat.address);
			peers.set(heartbeat.address, toPeer(heartbeat, pauses));
			return before?.startedAt !== heartbeat.startedAt;
		},
		receiveLoad(address, cell, load) {
			const peer = peers.get(address);
			if (peer?.loads.has(cell)) {
				peers.set(address, {...peer, loads: new Map([...peer.loads, [cell, load]]), loadsUpdatedAt: performance.now()});
			}
		},
		remove,
		excludePause(milliseconds) {
			pauses += milliseconds;
		},
		removeSilent() {
			const now = performance.now();
			const silent = [...peers.values()].filter(({lastHeartbeatAt, pausesBefore, silentAfterMilliseconds}) => now - lastHeartbeatAt - (pauses - pausesBefore) > silentAfterMilliseconds);
			for (const {address} of silent) {
				peers.delete(address);
			}

			return silent;
		},
		get: address => peers.get(address),
		all: () => [...peers.values()],
	};
};
