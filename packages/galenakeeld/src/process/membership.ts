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
	Alarm = 'alarm',
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
	readonly heardAt: number;
	/** Time of the last heartbeat or call. */
	readonly contactedAt: number;
	readonly isReachable: boolean;
};

/**
What this instance knows of the others, and of leaving endpoints.
*/
export type Membership = {
	readonly hear: (heartbeat: PeerHeartbeat) => void;
	/** Says that a peer has called, or replied to a call. */
	readonly contact: (instance: string) => void;
	/** Marks a peer as unreachable; its identifiers stay its own. */
	readonly lose: (instance: string) => void;
	/** Starts the silence of every peer anew after this process was paused: it could not hear them. */
	readonly forgiveSilence: () => void;
	readonly list: (listed: readonly ListedInstance[]) => void;
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
	readonly enter: (state: InstanceState) => void;
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
const joinHeartbeats = (before: Peer | undefined, heartbeat: PeerHeartbeat): PeerHeartbeat => {
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

	const put = (peer: Peer): void => {
		const before = peers.get(peer.instance);
		peers.set(peer.instance, peer);
		if (isOwner(before) !== isOwner(peer) || before?.weight !== peer.weight) {
			options.onOwnersChange();
		}
	};

	const lookAtClosedEndpoints = (): void => {
		const closed = leaving.leavingAddresses().join(' ');
		if (closed !== closedEndpoints) {
			closedEndpoints = closed;
			options.onEndpointsLeaving();
		}
	};

	const forgiveSilence = (): void => {
		const contactedAt = performance.now();
		for (const [instance, peer] of peers) {
			peers.set(instance, {...peer, contactedAt});
		}
	};

	return {
		hear(heartbeat) {
			const before = peers.get(heartbeat.instance);
			if (before?.isReachable && isEarlierIncarnation(heartbeat.incarnation, before.incarnation)) {
				return;
			}

			const heardAt = performance.now();
			put({
				...joinHeartbeats(before, heartbeat), heardAt, contactedAt: heardAt, isReachable: true,
			});
			leaving.receiveMarks(heartbeat.leavingEndpoints);
			lookAtClosedEndpoints();
		},
		contact(instance) {
			const peer = peers.get(instance);
			if (peer) {
				peers.set(instance, {...peer, contactedAt: performance.now()});
			}
		},
		lose(instance) {
			const peer = peers.get(instance);
			if (peer?.isReachable) {
				put({...peer, isReachable: false});
			}
		},
		forgiveSilence,
		list(listed) {
			listedPeers = listed.filter(({role, name}) => role === InstanceRole.Entry && name !== self.instance);
			leaving.updateListed(listed.filter(({role}) => role === InstanceRole.Endpoint));
			lookAtClosedEndpoints();
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
				forgiveSilence();
			}

			sweptAt = now;
			lookAtClosedEndpoints();
			for (const peer of peers.values()) {
				if (peer.isReachable && now - peer.contactedAt > peer.intervalMilliseconds * options.missedHeartbeats) {
					put({...peer, isReachable: false});
				}
			}
		},
		state: () => state,
		enter(next) {
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
