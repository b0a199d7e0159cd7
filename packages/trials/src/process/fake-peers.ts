import {InstanceRole, ListedState, type ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import {createPeerCalls, runPeerConnection, type PeerCalls} from 'galenakeeld/connection/peer-connection.js';
import {createHeartbeatSource, type TimedHeartbeatSource} from 'galenakeeld/process/heartbeat-source.js';
import {InstanceState, type PeerHeartbeat} from 'galenakeeld/process/membership.js';

const firstPort = 20_000;

/**
Entry instances that only exchange heartbeats, all in this process.
*/
export type FakePeers = {
	/** The peers as the platform lists them. */
	readonly listed: readonly ListedInstance[];
	readonly close: () => void;
};

/** Sorts before the daemon's name, so that the peer dials. */
const nameOf = (position: number): string => `a-peer-${position + 1}`;

const addressOf = (position: number): string => `127.0.0.1:${firstPort + position}`;

const describePeer = (position: number, zone: string, intervalMilliseconds: number): PeerHeartbeat => ({
	instance: nameOf(position),
	incarnation: `peer${position + 1}`,
	zone,
	weight: 1,
	callerAddress: addressOf(position),
	peerAddress: addressOf(position),
	operatorAddress: addressOf(position),
	state: InstanceState.Serving,
	catalogueVersion: 0,
	intervalMilliseconds,
	hints: [],
	leavingEndpoints: [],
});

/**
Starts peers that dial a daemon and exchange heartbeats with it until closed.

@example
```
const peers = startFakePeers({count: 96, daemonAddress: '127.0.0.1:8001', zone: 'zone-a', intervalOf: peer => peer === 0 ? 800 : 4800, hear: pulse.hear});
```
*/
export const startFakePeers = (options: {
	readonly count: number;
	readonly daemonAddress: string;
	readonly zone: string;
	/** Time between the heartbeats of a peer by its position. */
	readonly intervalOf: (peer: number) => number;
	/** Called with each heartbeat of the daemon and the position of the peer that heard it. */
	readonly hear: (peer: number, heartbeat: PeerHeartbeat) => void;
}): FakePeers => {
	const stop = new AbortController();
	const allCalls: PeerCalls[] = [];
	for (let position = 0; position < options.count; position++) {
		const calls = createPeerCalls(options.daemonAddress);
		const open: TimedHeartbeatSource[] = [];
		allCalls.push(calls);
		void runPeerConnection(calls, {
			openSource() {
				const source = createHeartbeatSource(() => describePeer(position, options.zone, options.intervalOf(position)));
				open.push(source);
				return source;
			},
			onHeartbeat(heartbeat) {
				options.hear(position, heartbeat);
				if (heartbeat.probe) {
					open.at(-1)!.sendNow();
				}
			},
			onStreamEnded() {
				// It dials again.
			},
			signal: stop.signal,
		});
	}

	return {
		listed: Array.from({length: options.count}, (_, position) => ({
			name: nameOf(position), role: InstanceRole.Entry, zone: options.zone, address: addressOf(position), state: ListedState.Live, incarnation: '1',
		})),
		close() {
			stop.abort();
			for (const calls of allCalls) {
				calls.close();
			}
		},
	};
};
