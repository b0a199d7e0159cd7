import {performance} from 'node:perf_hooks';
import type {
	CellLoad, ConfigurationVersion, Heartbeat, KeepAlive,
} from '@galenakeel/model/connection/fleet-message.js';
import type {Claimant} from './cell-claims.js';

/**
A peer, as described by its last heartbeat. Its messages update it in place.
*/
export type Peer = Claimant & {
	readonly instance: string;
	/** Arrival of its last message, in monotonic milliseconds. */
	readonly lastHeartbeatAt: number;
	readonly silentAfterMilliseconds: number;
	/** Time without messages after which the peer needs to regard this daemon as lost. */
	readonly neededSilenceMilliseconds: number;
	/** Total of this daemon's own pauses when the last heartbeat arrived, in milliseconds. */
	readonly pausesBefore: number;
	readonly loads: ReadonlyMap<string, CellLoad>;
	/** Last update of the loads, in monotonic milliseconds. */
	readonly loadsUpdatedAt: number;
	/** Version of the configuration that the peer has installed. */
	readonly configurationVersion: number;
	/** The newest version that the peer is known to have heard of. */
	readonly newestVersion: number;
	readonly known: readonly string[];
};

/**
The peers from which this daemon receives heartbeats.
*/
export type FleetView = {
	/** Records a heartbeat. Returns whether the peer is new or has restarted. */
	readonly receiveHeartbeat: (heartbeat: Heartbeat) => boolean;
	/** Records a keep-alive of a peer; ignored while the peer is unknown. */
	readonly receiveKeepAlive: (address: string, keepAlive: Omit<KeepAlive, 'kind'>) => void;
	/** Records the versions of a peer; ignored while the peer is unknown. */
	readonly receiveConfigurationVersion: (address: string, versions: Pick<ConfigurationVersion, 'installed' | 'newest'>) => void;
	/** Records that another message of a peer has arrived; ignored while the peer is unknown. */
	readonly receiveContact: (address: string) => void;
	/** Expects a message of a peer within this time, although its last heartbeat allowed for a longer silence. */
	readonly expectWithin: (address: string, milliseconds: number) => void;
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
	/** Changes whenever a peer appears, is removed, or describes itself anew. */
	readonly revision: () => number;
};

type PeerRecord = {
	-readonly [Property in keyof Peer]: Peer[Property];
} & {
	/** Time by which a message is expected, as a silence since `expectedSince`. */
	expectedWithinMilliseconds: number;
	/** Monotonic milliseconds. */
	expectedSince: number;
	expectedPausesBefore: number;
};

const toRecord = (heartbeat: Heartbeat, pausesBefore: number): PeerRecord => ({
	pausesBefore,
	instance: heartbeat.instance,
	address: heartbeat.address,
	zone: heartbeat.zone,
	startedAt: heartbeat.startedAt,
	processor: heartbeat.processor,
	silentAfterMilliseconds: heartbeat.silentAfterMilliseconds,
	neededSilenceMilliseconds: heartbeat.neededSilenceMilliseconds,
	isLeaving: heartbeat.isLeaving,
	claims: new Map(heartbeat.claims.map(({cell, token, term}) => [cell, {token, term}])),
	loads: new Map(heartbeat.claims.map(({cell, load}) => [cell, load])),
	configurationVersion: heartbeat.configurationVersion,
	newestVersion: heartbeat.configurationVersion,
	known: heartbeat.known,
	lastHeartbeatAt: performance.now(),
	loadsUpdatedAt: performance.now(),
	expectedWithinMilliseconds: Number.POSITIVE_INFINITY,
	expectedSince: 0,
	expectedPausesBefore: 0,
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
	const peers = new Map<string, PeerRecord>();
	/** The peers as a list; undefined after a change of the map. */
	let list: readonly Peer[] | undefined;
	let revision = 0;
	let pauses = 0;

	const recordChange = (): void => {
		list = undefined;
		revision++;
	};

	const remove = (address: string): Peer | undefined => {
		const peer = peers.get(address);
		if (peers.delete(address)) {
			recordChange();
		}

		return peer;
	};

	const recordContact = (peer: PeerRecord): void => {
		peer.lastHeartbeatAt = performance.now();
		peer.pausesBefore = pauses;
		peer.expectedWithinMilliseconds = Number.POSITIVE_INFINITY;
	};

	/** Ignores what is no version, as in messages of an earlier build. */
	const recordVersions = (peer: PeerRecord, installed: number, newest: number): void => {
		if (Number.isSafeInteger(installed) && Number.isSafeInteger(newest)) {
			peer.configurationVersion = installed;
			peer.newestVersion = Math.max(peer.newestVersion, newest);
		}
	};

	const isSilent = (peer: PeerRecord, now: number): boolean => {
		const sinceHeartbeat = now - peer.lastHeartbeatAt - (pauses - peer.pausesBefore);
		const sinceExpected = now - peer.expectedSince - (pauses - peer.expectedPausesBefore);
		return sinceHeartbeat > peer.silentAfterMilliseconds || sinceExpected > peer.expectedWithinMilliseconds;
	};

	return {
		receiveHeartbeat(heartbeat) {
			const before = peers.get(heartbeat.address);
			peers.set(heartbeat.address, toRecord(heartbeat, pauses));
			recordChange();
			return before?.startedAt !== heartbeat.startedAt;
		},
		receiveKeepAlive(address, {silentAfterMilliseconds, neededSilenceMilliseconds, configurationVersion}) {
			const peer = peers.get(address);
			if (peer) {
				recordContact(peer);
				peer.silentAfterMilliseconds = silentAfterMilliseconds;
				peer.neededSilenceMilliseconds = neededSilenceMilliseconds;
				recordVersions(peer, configurationVersion, configurationVersion);
			}
		},
		receiveConfigurationVersion(address, {installed, newest}) {
			const peer = peers.get(address);
			if (peer) {
				recordVersions(peer, installed, newest);
			}
		},
		receiveContact(address) {
			const peer = peers.get(address);
			if (peer) {
				recordContact(peer);
			}
		},
		expectWithin(address, milliseconds) {
			const peer = peers.get(address);
			if (peer && milliseconds < Math.min(peer.silentAfterMilliseconds, peer.expectedWithinMilliseconds)) {
				peer.expectedWithinMilliseconds = milliseconds;
				peer.expectedSince = performance.now();
				peer.expectedPausesBefore = pauses;
			}
		},
		receiveLoad(address, cell, load) {
			const peer = peers.get(address);
			if (peer?.loads.has(cell)) {
				peer.loads = new Map([...peer.loads, [cell, load]]);
				peer.loadsUpdatedAt = performance.now();
			}
		},
		remove,
		excludePause(milliseconds) {
			pauses += milliseconds;
		},
		removeSilent() {
			const now = performance.now();
			const silent: Peer[] = [];
			for (const peer of peers.values()) {
				if (isSilent(peer, now)) {
					silent.push(peer);
				}
			}

			for (const {address} of silent) {
				remove(address);
			}

			return silent;
		},
		get: address => peers.get(address),
		all() {
			list ??= [...peers.values()];
			return list;
		},
		revision: () => revision,
	};
};
