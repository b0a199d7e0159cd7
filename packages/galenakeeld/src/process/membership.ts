import {performance} from 'node:perf_hooks';
import {InstanceRole, type ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import type {SlotOwner} from '../version/slot-ownership.js';
import {isEarlierIncarnation, type Incarnation} from './incarnation.js';
import {createLeavingEndpoints} from './leaving-endpoints.js';

/** Time between two sweeps above which this process is taken to have been paused. */
const pauseMilliseconds = 2000;

/**
State of an entry instance, as it reports it in its heartbeats.
*/
export enum InstanceState {
	/** Has not loaded its documents yet. */
	Starting = 'starting',
	/** Accepts requests. */
	Serving = 'serving',
	/** Finishes the requests that it has accepted. */
	Leaving = 'leaving',
}

/**
Free slots and waiting tasks of one service on a peer.
*/
export type SlotHint = {readonly service: string; readonly free: number; readonly waiting: number};

/**
What a heartbeat requests of its receiver.
*/
export enum HeartbeatProbe {
	/** Send a heartbeat immediately. */
	Answer = 'answer',
	/** Send a heartbeat immediately, and probe all peers of its own, because a peer is suspected of having failed. */
	Suspicion = 'alarm',
}

/**
A decoded heartbeat.
*/
export type PeerHeartbeat = Incarnation & {
	readonly state: InstanceState;
	readonly catalogueVersion: number;
	/** Maximum time until the sender's next heartbeat on the same stream. */
	readonly intervalMilliseconds: number;
	readonly hints: readonly SlotHint[];
	readonly leavingEndpoints: readonly string[];
	readonly probe?: HeartbeatProbe;
};

/**
A peer, according to its last heartbeat.
*/
export type Peer = PeerHeartbeat & {
	/** Time of the last heartbeat, in monotonic milliseconds. */
	readonly lastHeartbeatAt: number;
	/** Time of the last heartbeat, call or reply, in monotonic milliseconds. */
	readonly lastContactAt: number;
	readonly isReachable: boolean;
};

/**
What this instance knows of its peers and of leaving endpoints.
*/
export type Membership = {
	readonly receiveHeartbeat: (heartbeat: PeerHeartbeat) => void;
	/** Records that a peer has made a call or replied to one. */
	readonly recordContact: (instance: string) => void;
	/** Marks a peer as unreachable. Identifiers that it has issued still belong to it. */
	readonly markUnreachable: (instance: string) => void;
	/** Restarts the silence timeout of every peer after a pause of this process, during which it could not receive heartbeats. */
	readonly resetSilence: () => void;
	readonly updateListed: (listed: readonly ListedInstance[]) => void;
	readonly findPeer: (instance: string) => Peer | undefined;
	readonly peers: () => readonly Peer[];
	/** Entry instances in the platform's list, without this one. */
	readonly listedPeers: () => readonly ListedInstance[];
	/** This instance and the reachable peers among which slots are shared. */
	readonly owners: () => readonly SlotOwner[];
	readonly leavingEndpoints: () => readonly string[];
	readonly isLeavingEndpoint: (address: string) => boolean;
	/** Marks peers whose silence timeout has passed as unreachable; to be called several times a second. */
	readonly sweep: () => void;
	readonly state: () => InstanceState;
	/** Advances this instance to a later state. An earlier state is ignored. */
	readonly advanceTo: (state: InstanceState) => void;
	/** Weight of this instance in the sharing of slots, relative to its peers; 0 once it has yielded its slots. */
	readonly weight: () => number;
	/** Gives up all slots of this instance to its peers. */
	readonly yieldSlots: () => void;
};

const stateOrder: readonly InstanceState[] = [InstanceState.Starting, InstanceState.Serving, InstanceState.Leaving];

const isBefore = (state: InstanceState, other: InstanceState): boolean => stateOrder.indexOf(state) < stateOrder.indexOf(other);

/**
Merges a heartbeat with an earlier one of the same run. Heartbeats on different streams may arrive out of order, so state and catalogue version never decrease.
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
Creates the membership of an instance that has not received any heartbeat yet.

@param options.missedHeartbeats Number of heartbeat intervals without contact after which a peer is unreachable.
@param options.onOwnersChange Called when the distribution of slots may have changed.
@param options.onEndpointsLeaving Called when endpoints are closed to new tasks, or opened to them again.
*/
export const createMembership = (self: Incarnation, options: {missedHeartbeats: number; onOwnersChange: () => void; onEndpointsLeaving: () => void}): Membership => {
	const peers = new Map<string, Peer>();
	const leaving = createLeavingEndpoints();
	let listedPeers: readonly ListedInstance[] = [];
	let state = InstanceState.Starting;
	let {weight} = self;
	let sweptAt = performance.now();
	let closedEndpoints = '';

	// A leaving instance keeps its slots for the tasks waiting in its queue, and lends the free ones.
	const isOwner = (peer: Peer | undefined): boolean => peer !== undefined && peer.isReachable && peer.state !== InstanceState.Starting && peer.weight > 0;

	const setPeer = (peer: Peer): void => {
		const before = peers.get(peer.instance);
		peers.set(peer.instance, peer);
		if (isOwner(before) !== isOwner(peer) || before?.weight !== peer.weight) {
			options.onOwnersChange();
		}
	};

	const notifyClosedEndpoints = (): void => {
		const closed = leaving.leavingAddresses().join(' ');
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

			const lastHeartbeatAt = performance.now();
			setPeer({
				...mergeHeartbeats(before, heartbeat), lastHeartbeatAt, lastContactAt: lastHeartbeatAt, isReachable: true,
			});
			leaving.receiveMarks(heartbeat.leavingEndpoints);
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
			leaving.updateListed(listed.filter(({role}) => role === InstanceRole.Endpoint));
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
