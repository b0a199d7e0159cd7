import {performance} from 'node:perf_hooks';
import {HeartbeatProbe, type Membership, type Peer} from './membership.js';
import type {PeerHeartbeats} from './peer-heartbeats.js';

/** Time past the announced interval after which a peer is probed. */
const lateHeartbeatMilliseconds = 250;
/** Time within which a probed peer must answer. */
const probeTimeoutMilliseconds = 350;
/** Minimum time between two probes of all peers, so that the suspicions of several peers lead to a single one. */
const probeAllIntervalMilliseconds = 1000;
/** Time between two sweeps above which this process is taken to have been paused. */
const pauseMilliseconds = 500;

/**
What happens when a probed peer does not answer.
*/
enum SuspicionStage {
	/** Every peer is probed, and asked to probe its own peers. */
	Silent = 'silent',
	/** The peer is marked as unreachable. */
	Final = 'final',
}

type Suspicion = {readonly stage: SuspicionStage; readonly since: number};

/**
Failure detector for the peers of an instance.
*/
export type PeerWatch = {
	/** Checks all peers for silence; to be called every 50 ms. */
	readonly sweep: () => void;
	/** Suspects a peer whose stream has ended. */
	readonly suspect: (instance: string) => void;
	/** Answers the probe of a peer's heartbeat. */
	readonly answerProbe: (instance: string, probe: HeartbeatProbe) => void;
	/** Whether this instance sends a peer heartbeats at the full rate: either the peer watches it, or the peer is unreachable and its return is to be noticed quickly. */
	readonly isFullRate: (instance: string) => boolean;
};

/**
Finds the peer that watches an instance: the next reachable one in a ring ordered by name.

@example
```
findWatcher('entry-2', ['entry-1', 'entry-3']); // => 'entry-3'
```
*/
export const findWatcher = (self: string, reachable: readonly string[]): string | undefined => {
	const sorted = reachable.toSorted();
	return sorted.find(instance => instance > self) ?? sorted[0];
};

/**
Creates the failure detector for the peers of an instance.

Each instance sends heartbeats at the full rate to one peer, its watcher, and at a lower rate to the others. A peer whose heartbeat is late is probed; if it does not answer, every instance probes all its peers at once. The number of messages therefore grows linearly with the number of instances, not quadratically, and the loss of an availability zone is detected as fast as a frozen instance.
*/
export const createPeerWatch = ({self, membership, heartbeats}: {
	readonly self: string;
	readonly membership: Membership;
	readonly heartbeats: PeerHeartbeats;
}): PeerWatch => {
	const suspicions = new Map<string, Suspicion>();
	let sweptAt = performance.now();
	let allProbedAt = -Infinity;
	let watcher: string | undefined;

	const reachable = (): readonly Peer[] => membership.peers().filter(({isReachable}) => isReachable);

	const probe = (instance: string, stage: SuspicionStage, kind: HeartbeatProbe): void => {
		suspicions.set(instance, {stage, since: performance.now()});
		heartbeats.send(instance, kind);
	};

	const probeAll = (kind: HeartbeatProbe): void => {
		allProbedAt = performance.now();
		for (const {instance} of reachable()) {
			probe(instance, SuspicionStage.Final, kind);
		}
	};

	const isProbingAll = (now: number): boolean => now - allProbedAt < probeAllIntervalMilliseconds;

	const resolveSuspicion = (instance: string, {stage, since}: Suspicion, now: number): void => {
		if (now - since < probeTimeoutMilliseconds) {
			return;
		}

		if (stage === SuspicionStage.Silent && !isProbingAll(now)) {
			probeAll(HeartbeatProbe.Suspicion);
		} else {
			suspicions.delete(instance);
			membership.markUnreachable(instance);
			heartbeats.send(instance, HeartbeatProbe.Answer);
		}
	};

	const checkPeer = ({instance, lastContactAt, intervalMilliseconds}: Peer, now: number): void => {
		const suspicion = suspicions.get(instance);
		if (suspicion && lastContactAt <= suspicion.since) {
			resolveSuspicion(instance, suspicion, now);
			return;
		}

		suspicions.delete(instance);
		if (now - lastContactAt > intervalMilliseconds + lateHeartbeatMilliseconds) {
			probe(instance, SuspicionStage.Silent, HeartbeatProbe.Answer);
		}
	};

	const updateWatcher = (): void => {
		const next = findWatcher(self, reachable().map(({instance}) => instance));
		if (next !== watcher) {
			watcher = next;
			if (next !== undefined) {
				heartbeats.send(next);
			}
		}
	};

	return {
		sweep() {
			const now = performance.now();
			if (now - sweptAt > pauseMilliseconds) {
				suspicions.clear();
				membership.resetSilence();
			}

			sweptAt = now;
			for (const peer of reachable()) {
				checkPeer(peer, now);
			}

			updateWatcher();
		},
		suspect(instance) {
			// Each failed dial ends a stream too, so the timeout runs from the first one and is not restarted.
			const peer = membership.findPeer(instance);
			const suspicion = suspicions.get(instance);
			const isSuspected = suspicion?.stage === SuspicionStage.Final && peer && peer.lastContactAt <= suspicion.since;
			if (peer?.isReachable && !isSuspected) {
				probe(instance, SuspicionStage.Final, HeartbeatProbe.Answer);
			}
		},
		answerProbe(instance, kind) {
			heartbeats.send(instance);
			if (kind === HeartbeatProbe.Suspicion && !isProbingAll(performance.now())) {
				probeAll(HeartbeatProbe.Answer);
			}
		},
		isFullRate: instance => instance === watcher || membership.findPeer(instance)?.isReachable === false,
	};
};
