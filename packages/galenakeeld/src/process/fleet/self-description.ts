import {FleetMessageKind, type Heartbeat, type KeepAlive} from '@galenakeel/model/connection/fleet-message.js';
import {
	heartbeatIntervalBetween, neededIntervalOf, type DaemonRole, type HeartbeatInterval, type Urgency,
} from './heartbeat-interval.js';
import type {Claimant} from './cell-claims.js';
import type {CellCounts} from './cell-layout.js';
import type {FleetSettings} from './fleet-settings.js';
import type {FleetView} from './fleet-view.js';
import type {OwnedCells} from './owned-cells.js';
import {arePeers} from './peer-selection.js';

/**
How a daemon describes itself to its peers.
*/
export type SelfDescription = {
	readonly claimant: () => Claimant;
	/** Creates a heartbeat for the peer at an address. */
	readonly createHeartbeat: (address: string) => Heartbeat;
	readonly createKeepAlive: (address: string) => KeepAlive;
	/** Heartbeat interval for an address. */
	readonly heartbeatIntervalTo: (address: string) => HeartbeatInterval;
	/** Changes with the description, except for loads, known addresses and the version of the configuration, which keep-alives have too. */
	readonly revision: () => number;
};

export type SelfDescriptionOptions = {
	readonly settings: Pick<FleetSettings, 'instance' | 'zone' | 'listen' | 'machine'>;
	/** Unix milliseconds. */
	readonly startedAt: number;
	readonly cells: Pick<OwnedCells, 'claims' | 'claimsByCell' | 'count' | 'revision'>;
	readonly view: Pick<FleetView, 'get' | 'all'>;
	readonly cellCounts: () => CellCounts;
	/** -1 while no configuration is installed. */
	readonly configurationVersion: () => number;
	readonly isLeaving: () => boolean;
	/** Why this daemon and the one at an address have to detect each other's loss quickly. */
	readonly urgencyOf: (address: string) => Urgency;
};

const millicoresPerCore = 1000;

/**
Creates the description of this daemon. Each call returns the current state.

@example
```
const self = createSelfDescription({settings, startedAt: Date.now(), cells, view, cellCounts: layout.counts, configurationVersion: () => 7, isLeaving: () => false, urgencyOf: () => Urgency.None});
self.createHeartbeat('10.1.0.13:7720');
```
*/
export const createSelfDescription = ({settings, startedAt, cells, view, cellCounts, configurationVersion, isLeaving, urgencyOf}: SelfDescriptionOptions): SelfDescription => {
	const {zone, instance, machine} = settings;
	const address = settings.listen.peers;
	const processor = Math.round(machine.cores * machine.share * millicoresPerCore);
	let revision = 0;
	let described: readonly unknown[] = [];

	const ownRole = (): DaemonRole => ({zone, isOwner: cells.count() > 0});

	const roleOf = (peerAddress: string): DaemonRole | undefined => {
		const peer = view.get(peerAddress);
		return peer && {zone: peer.zone, isOwner: peer.claims.size > 0};
	};

	const heartbeatIntervalTo = (peerAddress: string): HeartbeatInterval =>
		heartbeatIntervalBetween(ownRole(), roleOf(peerAddress), view.get(peerAddress)?.neededSilenceMilliseconds ?? 0, urgencyOf(peerAddress));

	const silencesFor = (peerAddress: string) => ({
		silentAfterMilliseconds: heartbeatIntervalTo(peerAddress).silentAfterMilliseconds,
		neededSilenceMilliseconds: neededIntervalOf(ownRole(), roleOf(peerAddress), urgencyOf(peerAddress)).silentAfterMilliseconds,
	});

	/** The peers with which the receiver should exchange heartbeats too; none while its zone is unknown. */
	const knownFor = (receiver: string): readonly string[] => {
		const peer = view.get(receiver);
		if (!peer) {
			return [];
		}

		const role = {address: receiver, zone: peer.zone, isOwner: peer.claims.size > 0};
		return view.all()
			.filter(one => one.address !== receiver && arePeers(role, {address: one.address, zone: one.zone, isOwner: one.claims.size > 0}))
			.map(one => one.address);
	};

	return {
		claimant: () => ({
			address, zone, startedAt, processor, isLeaving: isLeaving(), claims: cells.claimsByCell(),
		}),
		createHeartbeat: receiver => ({
			kind: FleetMessageKind.Heartbeat,
			instance,
			address,
			zone,
			startedAt,
			processor,
			...silencesFor(receiver),
			claims: cells.claims(),
			configurationVersion: configurationVersion(),
			isLeaving: isLeaving(),
			known: knownFor(receiver),
			cellCounts: cellCounts(),
		}),
		createKeepAlive: receiver => ({kind: FleetMessageKind.KeepAlive, ...silencesFor(receiver), configurationVersion: configurationVersion()}),
		heartbeatIntervalTo,
		revision() {
			const current = [cells.revision(), isLeaving(), cellCounts()];
			if (current.some((value, position) => value !== described[position])) {
				described = current;
				revision++;
			}

			return revision;
		},
	};
};
