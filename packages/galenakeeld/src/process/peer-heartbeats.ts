import type {HeartbeatSource} from '../connection/peer-connection.js';
import {createHeartbeatSource, type TimedHeartbeatSource} from './heartbeat-source.js';
import type {HeartbeatProbe, PeerHeartbeat} from './membership.js';

/** Time for which a description of this instance is reused for the heartbeats of other streams. */
const descriptionMilliseconds = 5;

/**
The heartbeats of this instance on the streams to all peers, each at its own interval.
*/
export type PeerHeartbeats = {
	/** Opens the source of heartbeats for one stream to a peer. */
	readonly open: (peer: string) => HeartbeatSource;
	/** Makes every stream send a heartbeat immediately. */
	readonly sendToAll: () => void;
	/** Makes the streams to one peer send a heartbeat immediately, with a probe if one is given. */
	readonly send: (peer: string, probe?: HeartbeatProbe) => void;
	/** Postpones the next heartbeat to a peer, because a call to it also shows that this instance is alive. */
	readonly postpone: (peer: string) => void;
};

/**
Creates the heartbeats of an instance, initially without streams.

@param options.describe Returns the current content common to all heartbeats.
@param options.intervalTo Returns the time between heartbeats to a peer, in milliseconds.

@example
```
const heartbeats = createPeerHeartbeats({describe: describeSelf, intervalTo: peer => peer === watcher ? 800 : 4800});
heartbeats.send('entry-2', HeartbeatProbe.Answer);
```
*/
export const createPeerHeartbeats = (options: {
	readonly describe: () => Omit<PeerHeartbeat, 'intervalMilliseconds' | 'probe'>;
	readonly intervalTo: (peer: string) => number;
}): PeerHeartbeats => {
	const streams = new Map<string, Set<TimedHeartbeatSource>>();
	const probes = new Map<string, HeartbeatProbe>();
	// Streams that send at the same time share a heartbeat object, so that its difference from the previous one is computed only once.
	const described = new Map<string, PeerHeartbeat>();
	let describedAt = -Infinity;

	const describe = (intervalMilliseconds: number, probe: HeartbeatProbe | undefined): PeerHeartbeat => {
		const now = performance.now();
		if (now - describedAt > descriptionMilliseconds) {
			described.clear();
			describedAt = now;
		}

		const key = `${intervalMilliseconds} ${probe}`;
		const heartbeat = described.get(key) ?? {...options.describe(), intervalMilliseconds, ...(probe && {probe})};
		described.set(key, heartbeat);
		return heartbeat;
	};

	const streamsTo = (peer: string): Iterable<TimedHeartbeatSource> => streams.get(peer) ?? [];

	return {
		open(peer) {
			const source = createHeartbeatSource(() => {
				const probe = probes.get(peer);
				probes.delete(peer);
				return describe(options.intervalTo(peer), probe);
			});
			streams.set(peer, new Set([...streamsTo(peer), source]));
			return {
				...source,
				close() {
					source.close();
					streams.get(peer)?.delete(source);
				},
			};
		},
		sendToAll() {
			describedAt = -Infinity;
			for (const sources of streams.values()) {
				for (const source of sources) {
					source.sendNow();
				}
			}
		},
		send(peer, probe) {
			if (probe) {
				probes.set(peer, probe);
			}

			for (const source of streamsTo(peer)) {
				source.sendNow();
			}
		},
		postpone(peer) {
			for (const source of streamsTo(peer)) {
				source.postpone();
			}
		},
	};
};
