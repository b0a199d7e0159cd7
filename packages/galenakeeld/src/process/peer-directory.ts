import {performance} from 'node:perf_hooks';
import type {ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import type {HeartbeatSource, PeerCalls, runPeerConnection} from '../connection/peer-connection.js';
import type {Incarnation} from './incarnation.js';
import type {Membership, PeerHeartbeat} from './membership.js';

/** Time without a heartbeat after which this instance dials a peer that should dial it; shorter than the start of a new instance. */
const dialAfterMilliseconds = 1000;

type PeerTask = {readonly address: string; readonly calls: PeerCalls; readonly stop: AbortController; readonly hasHeartbeats: boolean};

/**
The connections to peers, with one task for each.
*/
export type PeerDirectory = {
	/** Starts a task for each listed peer, and stops the tasks of peers that are neither listed nor reachable, or whose address has changed; to be called several times a second. */
	readonly connect: () => void;
	/** Returns the calls to a peer by the name of its instance; `undefined` if neither the list nor a heartbeat contains it. */
	readonly callsOf: (instance: string) => PeerCalls | undefined;
	readonly close: () => void;
};

/**
Functions with which the directory connects to peers.
*/
export type PeerLinks = {
	readonly createCalls: (address: string) => PeerCalls;
	/** Keeps a heartbeat stream to one peer open. */
	readonly runConnection: typeof runPeerConnection;
};

/**
Creates the directory of peers, initially without connections.

@param options.openHeartbeats Opens the source of this instance's heartbeats on a stream to a peer.
@param options.onHeartbeat Called with each heartbeat received from a peer that this instance dialled.
@param options.suspect Called when a stream to a peer has ended.

Of two peers, the one whose name sorts first dials; the other dials only while it receives no heartbeats.
*/
export const createPeerDirectory = ({self, membership, openHeartbeats, onHeartbeat, suspect}: {
	readonly self: Incarnation;
	readonly membership: Membership;
	readonly openHeartbeats: (peer: string) => HeartbeatSource;
	readonly onHeartbeat: (heartbeat: PeerHeartbeat) => void;
	readonly suspect: (peer: string) => void;
}, links: PeerLinks): PeerDirectory => {
	const tasks = new Map<string, PeerTask>();
	const silentSince = new Map<string, number>();

	const shouldDial = (instance: string): boolean => {
		if (membership.findPeer(instance)?.isReachable) {
			silentSince.delete(instance);
			return false;
		}

		if (self.instance < instance) {
			return true;
		}

		const since = silentSince.get(instance) ?? performance.now();
		silentSince.set(instance, since);
		return performance.now() - since > dialAfterMilliseconds;
	};

	const open = (peer: ListedInstance): void => {
		// Reuses the channel if a call has opened it already.
		const calls = tasks.get(peer.name)?.calls ?? links.createCalls(peer.address);
		const stop = new AbortController();
		tasks.set(peer.name, {
			address: peer.address, calls, stop, hasHeartbeats: true,
		});
		void links.runConnection(calls, {
			openSource: () => openHeartbeats(peer.name),
			onHeartbeat,
			onStreamEnded() {
				suspect(peer.name);
			},
			signal: stop.signal,
		});
	};

	const close = (instance: string, task: PeerTask): void => {
		task.stop.abort();
		task.calls.close();
		tasks.delete(instance);
	};

	return {
		connect() {
			const listed = new Map(membership.listedPeers().map(peer => [peer.name, peer]));
			for (const [instance, task] of tasks) {
				const peer = listed.get(instance);
				const isGone = !peer && !membership.findPeer(instance)?.isReachable;
				if (isGone || (peer && peer.address !== task.address)) {
					close(instance, task);
				}
			}

			for (const [instance, peer] of listed) {
				if (!tasks.get(instance)?.hasHeartbeats && shouldDial(instance)) {
					open(peer);
				}
			}
		},
		callsOf(instance) {
			const task = tasks.get(instance);
			if (task) {
				return task.calls;
			}

			const address = membership.listedPeers().find(({name}) => name === instance)?.address ?? membership.findPeer(instance)?.peerAddress;
			if (address === undefined) {
				return undefined;
			}

			// This peer dialled this instance, so the channel opened here is for calls only and carries no heartbeats.
			const calls = links.createCalls(address);
			tasks.set(instance, {
				address, calls, stop: new AbortController(), hasHeartbeats: false,
			});
			return calls;
		},
		close() {
			for (const [instance, task] of tasks) {
				close(instance, task);
			}
		},
	};
};
