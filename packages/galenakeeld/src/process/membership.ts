import {performance} from 'node:perf_hooks';
import {InstanceRole, ListedState, type ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import type {SlotOwner} from '../version/slot-ownership.js';
import type {Incarnation} from './incarnation.js';

/**
What an entry instance says of itself.
*/
export enum InstanceState {
	/** Has not read its documents yet. */
	Starting = 'starting',
	/** Takes requests. */
	Serving = 'serving',
	/** Finishes what it has. */
	Leaving = 'leaving',
}

/**
Free slots and waiting tasks of one service on a peer.
*/
export type SlotHint = {readonly service: string; readonly free: number; readonly waiting: number};

/**
A heartbeat, as decoded.
*/
export type PeerHeartbeat = Incarnation & {
	readonly state: InstanceState;
	readonly catalogueVersion: number;
	/** Longest time until the sender's next heartbeat. */
	readonly intervalMilliseconds: number;
	readonly hints: readonly SlotHint[];
	readonly leavingEndpoints: readonly string[];
};

/**
A peer, as last heard.
*/
export type Peer = PeerHeartbeat & {readonly heardAt: number; readonly isReachable: boolean};

/**
What this instance knows of the others, and of leaving endpoints.
*/
export type Membership = {
	readonly hear: (heartbeat: PeerHeartbeat) => void;
	/** Marks a peer as unreachable; its identifiers stay its own. */
	readonly lose: (instance: string) => void;
	readonly list: (listed: readonly ListedInstance[]) => void;
	readonly findPeer: (instance: string) => Peer | undefined;
	readonly peers: () => readonly Peer[];
	/** Entry instances on the platform's list other than this one. */
	readonly listedPeers: () => readonly ListedInstance[];
	/** This instance and the reachable peers among which slots are shared. */
	readonly owners: () => readonly SlotOwner[];
	readonly leavingEndpoints: () => readonly string[];
	readonly isLeavingEndpoint: (address: string) => boolean;
	/** Looks for peers that have fallen silent. */
	readonly sweep: () => void;
	state: InstanceState;
};

/**
Creates the membership of an instance that has not heard from anyone.

@param options.missedHeartbeats Silent intervals after which a peer is unreachable.
@param options.onOwnersChange Called when the sharing of slots may have changed.
@param options.onEndpointsLeaving Called when further endpoints are known to be leaving.
*/
export const createMembership = (self: Incarnation, options: {missedHeartbeats: number; onOwnersChange: () => void; onEndpointsLeaving: () => void}): Membership => {
	const peers = new Map<string, Peer>();
	const leaving = new Set<string>();
	let listedPeers: readonly ListedInstance[] = [];
	let state = InstanceState.Starting;

	const isOwner = (peer: Peer | undefined): boolean => peer !== undefined && peer.isReachable && peer.state === InstanceState.Serving;

	const put = (peer: Peer): void => {
		const before = peers.get(peer.instance);
		peers.set(peer.instance, peer);
		if (isOwner(before) !== isOwner(peer) || before?.weight !== peer.weight) {
			options.onOwnersChange();
		}
	};

	const markLeaving = (endpoints: readonly string[]): void => {
		const before = leaving.size;
		for (const endpoint of endpoints) {
			leaving.add(endpoint);
		}

		if (leaving.size > before) {
			options.onEndpointsLeaving();
		}
	};

	return {
		hear(heartbeat) {
			put({...heartbeat, heardAt: performance.now(), isReachable: true});
			markLeaving(heartbeat.leavingEndpoints);
		},
		lose(instance) {
			const peer = peers.get(instance);
			if (peer?.isReachable) {
				put({...peer, isReachable: false});
			}
		},
		list(listed) {
			listedPeers = listed.filter(({role, name}) => role === InstanceRole.Entry && name !== self.instance);
			const endpoints = listed.filter(({role}) => role === InstanceRole.Endpoint);
			markLeaving(endpoints.filter(endpoint => endpoint.state === ListedState.Leaving).map(endpoint => leavingMark(endpoint)));
			for (const [instance, peer] of peers) {
				if (!peer.isReachable && !listedPeers.some(({name}) => name === instance)) {
					peers.delete(instance);
				}
			}
		},
		findPeer: instance => peers.get(instance),
		peers: () => [...peers.values()],
		listedPeers: () => listedPeers,
		owners: () => [
			...(state === InstanceState.Leaving ? [] : [self]),
			...[...peers.values()].filter(peer => isOwner(peer)),
		],
		leavingEndpoints: () => [...leaving],
		isLeavingEndpoint(address) {
			for (const mark of leaving) {
				if (mark.startsWith(`${address}/`)) {
					return true;
				}
			}

			return false;
		},
		sweep() {
			const now = performance.now();
			for (const peer of peers.values()) {
				if (peer.isReachable && now - peer.heardAt > peer.intervalMilliseconds * options.missedHeartbeats) {
					put({...peer, isReachable: false});
				}
			}
		},
		get state() {
			return state;
		},
		set state(next) {
			state = next;
			options.onOwnersChange();
		},
	};
};

/**
Names one run of an endpoint, so that a restarted one at the same address is not taken for leaving.
*/
const leavingMark = (endpoint: ListedInstance): string => `${endpoint.address}/${endpoint.incarnation}`;
