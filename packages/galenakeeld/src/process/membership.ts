import {performance} from 'node:perf_hooks';
import {InstanceRole, type ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import type {SlotOwner} from '../version/slot-ownership.js';
import {isEarlierIncarnation, type Incarnation} from './incarnation.js';
import {createLeavingEndpoints} from './leaving-endpoints.js';

const pauseMilliseconds = 2000;

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
What a heartbeat asks of its receiver.
*/
export enum HeartbeatProbe {
	/** A heartbeat at once. */
	Answer = 'answer',
	/** A heartbeat at once, and a look at whether each of its own peers still answers. */
	Suspicion = 'alarm',
}

/**
A heartbeat, as decoded.
*/
export type PeerHeartbeat = Incarnation & {
	readonly state: InstanceState;
	readonly catalogueVersion: number;
	/** Longest time until the sender's next heartbeat on the same stream. */
	readonly intervalMilliseconds: number;
	readonly hints: readonly SlotHint[];
	readonly leavingEndpoints: readonly string[];
	readonly probe?: HeartbeatProbe;
};

/**
A peer, as last heard.
*/
export type Peer = PeerHeartbeat & {
	/** Time of the last heartbeat. */
	readonly lastHeartbeatAt: number;
	/** Time of the last heartbeat or call. */
	readonly lastContactAt: number;
	readonly isReachable: boolean;
};

/**
What this instance knows of the others, and of leaving endpoints.
*/
export type Membership = {
	readonly receiveHeartbeat: (heartbeat: PeerHeartbeat) => void;
	/** Says that a peer has called, or replied to a call. */
	readonly recordContact: (instance: string) => void;
	/** Marks a peer as unreachable; its identifiers stay its own. */
	readonly markUnreachable: (instance: string) => void;
	/** Starts the silence of every peer anew after this process was paused: it could not hear them. */
	readonly resetSilence: () => void;
	readonly updateListed: (listed: readonly ListedInstance[]) => void;
	readonly findPeer: (instance: string) => Peer | undefined;
	readonly peers: () => readonly Peer[];
	/** Entry instances on the platform's list other than this one. */
	readonly listedPeers: () => readonly ListedInstance[];
	/** This instance and the reachable peers among which slots are shared. */
	readonly owners: () => readonly SlotOwner[];
	readonly leavingEndpoints: () => readonly string[];
	readonly isLeavingEndpoint: (address: string) => boolean;
	/** Looks for peers that have fallen silent; to be called several times a second. */
	readonly sweep: () => void;
	readonly state: () => InstanceState;
	/** Moves this instance on to a later state; it never goes back. */
	readonly advanceTo: (state: InstanceState) => void;
	/** Share of slots that this instance wants, relative to the others; 0 once it has yielded its slots. */
	readonly weight: () => number;
	/** Leaves all slots to the others. */
	readonly yieldSlots: () => void;
};

const stateOrder: readonly InstanceState[] = [InstanceState.Starting, InstanceState.Serving, InstanceState.Leaving];

const isBefore = (state: InstanceState, other: InstanceState): boolean => stateOrder.indexOf(state) < stateOrder.indexOf(other);

/**
Joins a heartbeat with what the same run said before, on another stream perhaps: state and catalogue version never go back.
*/
const mergeHeartbeats = (before: Peer | undefined, heartbeat: PeerHeartbeat): PeerHeartbeat => {
	if (before?.incarnation !== heartbeat.incarnation) {
		return heartbeat;
	}

	return {
		...heartbeat,
		state: isBefore(heartbeat.state, before.state) ? before.state : heartbeat.state,
		catalogueVersion: Math.max(before.catalogueVersion, heartbeat.catalogueVersion),
	};
};

/**
Creates the membership of an instance that has not heard from anyone.

@param options.missedHeartbeats Silent intervals after which a peer is unreachable.
@param options.onOwnersChange Called when the sharing of slots may have changed.
@param options.onEndpointsLeaving Called when endpoints are closed to new work, or open to it again.
*/
export const createMembership = (self: Incarnation, options: {missedHeartbeats: number; onOwnersChange: () => void; onEndpointsLeaving: () => void}): Membership => {
	const peers = new Map<string, Peer>();
	const leaving = createLeavingEndpoints();
	let listedPeers: readonly ListedInstance[] = [];
	let state = InstanceState.Starting;
	let {weight} = self;
	let sweptAt = performance.now();
	let closedEndpoints = '';

	// An instance that is leaving keeps its slots for the tasks that wait in its queue, and lends the free ones.
	const isOwner = (peer: Peer | undefined): boolean => peer !== undefined && peer.isReachable && peer.state !== InstanceState.Starting && peer.weight > 0;

	const setPeer = (peer: Peer): void => {
		const before = peers.get(peer.instance);
		peers.set(peer.instance, peer);
		if (isOwner(before) !== isOwner(peer) || before?.weight !== peer.weight) {
			options.onOwnersChange();
		}
	};

	const notifyClosedEndpoints = (): void => {
		const closed = leaving.closed().join(' ');
		if (closed !== closedEndpoints) {
			closedEndpoints = closed;
			options.onEndpointsLeaving();
		}
	};

	const resetSilence = (): void => {
		const lastContactAt = performance.now();
		for (const [instance, peer] of peers) {
			peers.set(instance, {...peer, lastContactAt});
		}
	};

	return {
		receiveHeartbeat(heartbeat) {
			const before = peers.get(heartbeat.instance);
			if (before?.isReachable && isEarlierIncarnation(heartbeat.incarnation, before.incarnation)) {
				return;
			}

			const receivedAt = performance.now();
			setPeer({
				...mergeHeartbeats(before, heartbeat), lastHeartbeatAt: receivedAt, lastContactAt: receivedAt, isReachable: true,
			});
			leaving.hear(heartbeat.leavingEndpoints);
			notifyClosedEndpoints();
		},
		recordContact(instance) {
			const peer = peers.get(instance);
			if (peer) {
				peers.set(instance, {...peer, lastContactAt: performance.now()});
			}
		},
		markUnreachable(instance) {
			const peer = peers.get(instance);
			if (peer?.isReachable) {
				setPeer({...peer, isReachable: false});
			}
		},
		resetSilence,
		updateListed(listed) {
			listedPeers = listed.filter(({role, name}) => role === InstanceRole.Entry && name !== self.instance);
			leaving.list(listed.filter(({role}) => role === InstanceRole.Endpoint));
			notifyClosedEndpoints();
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
			...(weight > 0 ? [self] : []),
			...[...peers.values()].filter(peer => isOwner(peer)),
		],
		leavingEndpoints: leaving.marks,
		isLeavingEndpoint: leaving.isLeaving,
		sweep() {
			const now = performance.now();
			if (now - sweptAt > pauseMilliseconds) {
				resetSilence();
			}

			sweptAt = now;
			notifyClosedEndpoints();
			for (const peer of peers.values()) {
				if (peer.isReachable && now - peer.lastContactAt > peer.intervalMilliseconds * options.missedHeartbeats) {
					setPeer({...peer, isReachable: false});
				}
			}
		},
		state: () => state,
		advanceTo(next) {
			if (isBefore(state, next)) {
				state = next;
				options.onOwnersChange();
			}
		},
		weight: () => weight,
		yieldSlots() {
			weight = 0;
			options.onOwnersChange();
		},
	};
};
