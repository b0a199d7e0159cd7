import {FleetMessageKind, type Heartbeat} from '@galenakeel/model/connection/fleet-message.js';
import {heartbeatIntervalBetween, type HeartbeatInterval} from './heartbeat-interval.js';
import type {Claimant} from './cell-claims.js';
import type {CellCounts} from './cell-layout.js';
import type {FleetSettings} from './fleet-settings.js';
import type {FleetView} from './fleet-view.js';
import type {OwnedCells} from './owned-cells.js';

/**
How a daemon describes itself to its peers.
*/
export type SelfDescription = {
	readonly claimant: () => Claimant;
	readonly createHeartbeat: (interval: HeartbeatInterval) => Heartbeat;
	/** Heartbeat interval for an address. */
	readonly heartbeatIntervalTo: (address: string) => HeartbeatInterval;
};

export type SelfDescriptionOptions = {
	readonly settings: Pick<FleetSettings, 'instance' | 'zone' | 'listen' | 'machine'>;
	/** Unix milliseconds. */
	readonly startedAt: number;
	readonly cells: Pick<OwnedCells, 'claims' | 'claimsByCell' | 'count'>;
	readonly view: Pick<FleetView, 'get' | 'all'>;
	readonly cellCounts: () => CellCounts;
	/** -1 while no configuration is installed. */
	readonly configurationVersion: () => number;
	readonly isLeaving: () => boolean;
};

const millicoresPerCore = 1000;

/**
Creates the description of this daemon. Each call returns the current state.

@example
```
const self = createSelfDescription({settings, startedAt: Date.now(), cells, view, cellCounts: layout.counts, configurationVersion: () => 7, isLeaving: () => false});
self.createHeartbeat(self.heartbeatIntervalTo('10.1.0.13:7720'));
```
*/
export const createSelfDescription = ({settings, startedAt, cells, view, cellCounts, configurationVersion, isLeaving}: SelfDescriptionOptions): SelfDescription => {
	const {zone, instance, machine} = settings;
	const address = settings.listen.peers;
	const processor = Math.round(machine.cores * machine.share * millicoresPerCore);

	return {
		claimant: () => ({
			address, zone, startedAt, processor, isLeaving: isLeaving(), claims: cells.claimsByCell(),
		}),
		createHeartbeat: ({silentAfterMilliseconds}) => ({
			kind: FleetMessageKind.Heartbeat,
			instance,
			address,
			zone,
			startedAt,
			processor,
			silentAfterMilliseconds,
			claims: cells.claims(),
			configurationVersion: configurationVersion(),
			isLeaving: isLeaving(),
			known: view.all().map(peer => peer.address),
			cellCounts: cellCounts(),
		}),
		heartbeatIntervalTo(peerAddress) {
			const peer = view.get(peerAddress);
			return heartbeatIntervalBetween({zone, isOwner: cells.count() > 0}, peer && {zone: peer.zone, isOwner: peer.claims.size > 0});
		},
	};
};
