import {performance} from 'node:perf_hooks';
import {
	FleetMessageKind, type FleetMessage, type HeardFrame, type Heartbeat, type KeepAlive,
} from '@galenakeel/model/connection/fleet-message.js';
import type {
	createPeerStream, FrameObserver, PeerStream, serveFleet,
} from '../../connection/fleet-service.js';
import type {HeartbeatInterval} from './heartbeat-interval.js';
import {LossCause} from './cell-claims.js';
import type {Peer, FleetView} from './fleet-view.js';
import {awaitWholeTurn} from './reading-turns.js';
import {createUnconfirmedFrames} from './unconfirmed-frames.js';

/**
The streams between this daemon and its peers.
*/
export type FleetLinks = {
	/** Sends a message to a daemon. Messages to this daemon itself are delivered in a microtask. */
	readonly send: (address: string, message: FleetMessage) => void;
	/** Whether a message to a daemon would be sent now. */
	readonly isConnected: (address: string) => boolean;
	/** Opens streams to addresses that have none yet. */
	readonly connect: (addresses: readonly string[]) => void;
	/** Sends a heartbeat to all peers now, ahead of the next regular one. */
	readonly sendHeartbeats: () => void;
	/** Sends heartbeats now where the interval has become shorter. */
	readonly reviewIntervals: () => void;
	/** Removes the peers whose heartbeats have stopped, and breaks off their streams. */
	readonly removeSilentPeers: () => void;
	/** Opens the streams again that a peer doesn't hear, although it is heard itself: an open connection may go silent in one direction without a reset. */
	readonly resetUnheardStreams: () => void;
	readonly close: () => void;
};

export type FleetLinksOptions = {
	readonly address: string;
	/** Unix milliseconds of this daemon's start, which confirmations of its frames name. */
	readonly startedAt: number;
	readonly view: FleetView;
	readonly serve: typeof serveFleet;
	readonly openStream: typeof createPeerStream;
	/** How this daemon describes itself to the peer at an address. */
	readonly createHeartbeat: (address: string) => Heartbeat;
	readonly createKeepAlive: (address: string) => KeepAlive;
	/** Changes when peers need a heartbeat rather than a keep-alive. */
	readonly descriptionRevision: () => number;
	/** Heartbeat interval for an address. */
	readonly heartbeatIntervalTo: (address: string) => HeartbeatInterval;
	/** What frames to an address confirm. */
	readonly heardFrom: (address: string) => HeardFrame | undefined;
	readonly onMessage: (message: FleetMessage, from: string) => void;
	/** Called after the messages of each frame were processed. */
	readonly onFrameProcessed: Parameters<typeof serveFleet>[1]['onFrameProcessed'];
	readonly onPeerReachable: (peer: Peer) => void;
	/** Called when nothing listens at the address of a daemon. */
	readonly onRefused: (address: string) => void;
	readonly onPeerLost: (peer: Peer, cause: LossCause) => void;
	/** Called when a stream to or from the daemon has opened; earlier messages may have been lost. */
	readonly onStreamOpened: (address: string) => void;
	readonly onBroken: (address: string, detail: string) => void;
	readonly onFrameSent: FrameObserver;
	readonly onFrameReceived: FrameObserver;
};

/** The description that was last sent on a connection. */
type SentDescription = {readonly revision: number; readonly at: number};

const batchMilliseconds = 1;
/** Interval of heartbeats with an unchanged description, which pass on addresses. */
const repeatDescriptionMilliseconds = 30_000;
const redialMilliseconds = 150;
/** Time by which a peer may be behind with reading, beyond the silence that it or this daemon accepts. */
const unheardReserveMilliseconds = 600;
/** Pause between connection attempts to an address that is not a reachable peer; it may be gone permanently. */
const redialUnknownPeerMilliseconds = 500;

/**
Accepts the streams of peers and opens one to each peer.

@example
```
const links = await createFleetLinks(options);
links.connect(['10.1.0.13:7720']);
```
*/
export const createFleetLinks = async (options: FleetLinksOptions): Promise<FleetLinks> => {
	const {view, address: self} = options;
	const streams = new Map<string, PeerStream>();
	/** The last description that was sent to each peer on the present connection. */
	const sentDescriptions = new Map<string, SentDescription>();
	const unconfirmed = createUnconfirmedFrames();

	const reportLoss = (peer: Peer | undefined, cause: LossCause): void => {
		if (peer) {
			options.onPeerLost(peer, cause);
		}
	};

	/** Creates a heartbeat if the peer doesn't know the present description, and a keep-alive otherwise. */
	const createHeartbeat = (address: string): Heartbeat | KeepAlive => {
		const now = performance.now();
		const revision = options.descriptionRevision();
		const before = sentDescriptions.get(address);
		if (before?.revision === revision && now - before.at < repeatDescriptionMilliseconds) {
			return options.createKeepAlive(address);
		}

		sentDescriptions.set(address, {revision, at: now});
		return options.createHeartbeat(address);
	};

	const connect = (addresses: readonly string[]): void => {
		for (const address of addresses) {
			if (address === self || streams.has(address)) {
				continue;
			}

			const stream = options.openStream(address, {
				createHeartbeat: () => createHeartbeat(address),
				heard: () => options.heardFrom(address),
				heartbeatIntervalMilliseconds: () => options.heartbeatIntervalTo(address).heartbeatMilliseconds,
				batchMilliseconds,
				redialMilliseconds: () => view.get(address) ? redialMilliseconds : redialUnknownPeerMilliseconds,
				onConnected() {
					sentDescriptions.delete(address);
					unconfirmed.recordOpened(address);
					options.onStreamOpened(address);
				},
				onBroken(detail) {
					options.onBroken(address, detail);
				},
				onRefused() {
					options.onRefused(address);
					reportLoss(view.remove(address), LossCause.Ended);
				},
				onSent(sentAt) {
					unconfirmed.recordSent(address, sentAt);
				},
				onFrame: options.onFrameSent,
			});
			streams.set(address, stream);
			void stream.run();
		}
	};

	/** Answers a request once the frame that carried it is confirmed. */
	const confirm = async (address: string): Promise<void> => {
		await awaitWholeTurn();
		streams.get(address)?.send(createHeartbeat(address));
	};

	/** Sends the next heartbeat earlier if the peer needs it. */
	const reviewInterval = (address: string, neededBefore: number | undefined, needed: number): void => {
		if (neededBefore !== undefined && needed < neededBefore) {
			streams.get(address)?.reviewInterval();
		}
	};

	const handleHeartbeat = (heartbeat: Heartbeat): void => {
		const before = view.get(heartbeat.address);
		const neededBefore = before?.neededSilenceMilliseconds;
		const isNew = view.receiveHeartbeat(heartbeat);
		if (isNew) {
			reportLoss(before, LossCause.Ended);
			options.onPeerReachable(view.get(heartbeat.address)!);
			// The peer may have started after the last failed connection attempt.
			streams.get(heartbeat.address)?.dialNow();
		}

		connect([heartbeat.address, ...heartbeat.known]);
		reviewInterval(heartbeat.address, neededBefore, heartbeat.neededSilenceMilliseconds);
	};

	const handleKeepAlive = ({kind: _, ...keepAlive}: KeepAlive, described: Heartbeat): void => {
		const {address, startedAt} = described;
		const peer = view.get(address);
		if (peer?.startedAt !== startedAt) {
			// The peer was removed, for instance as silent, and is heard again.
			const heartbeat = {...described, ...keepAlive};
			handleHeartbeat(heartbeat);
			options.onMessage(heartbeat, address);
			return;
		}

		const neededBefore = peer.neededSilenceMilliseconds;
		view.receiveKeepAlive(address, keepAlive);
		reviewInterval(address, neededBefore, keepAlive.neededSilenceMilliseconds);
	};

	const stop = await options.serve(self, {
		onMessage(message, from) {
			if (message.kind === FleetMessageKind.Heartbeat) {
				handleHeartbeat(message);
			}

			if (message.kind === FleetMessageKind.ConfirmationRequest) {
				void confirm(from);
				return;
			}

			options.onMessage(message, from);
		},
		onFrameProcessed(described, frame) {
			const {heard} = frame;
			unconfirmed.recordReceived(described.address, heard?.startedAt === options.startedAt ? heard.sentAt : undefined);
			options.onFrameProcessed(described, frame);
		},
		onKeepAlive: handleKeepAlive,
		onContact: view.receiveContact,
		onOpened: options.onStreamOpened,
		onBroken(from) {
			options.onBroken(from, 'the peer\'s stream has ended');
		},
		onReadError(detail) {
			options.onBroken('', detail);
		},
		onFrame: options.onFrameReceived,
	});

	return {
		send(address, message) {
			if (address === self) {
				queueMicrotask(() => {
					options.onMessage(message, self);
				});
			} else {
				streams.get(address)?.send(message);
			}
		},
		isConnected: address => address === self || (streams.get(address)?.isConnected() ?? false),
		connect,
		sendHeartbeats() {
			for (const [address, stream] of streams) {
				stream.send(createHeartbeat(address));
			}
		},
		reviewIntervals() {
			for (const stream of streams.values()) {
				stream.reviewInterval();
			}
		},
		removeSilentPeers() {
			for (const peer of view.removeSilent()) {
				streams.get(peer.address)?.resetConnection('the peer is silent');
				reportLoss(peer, LossCause.Silent);
			}
		},
		resetUnheardStreams() {
			for (const {address, silentAfterMilliseconds} of view.all()) {
				const acceptedMilliseconds = Math.max(silentAfterMilliseconds, options.heartbeatIntervalTo(address).silentAfterMilliseconds);
				if (unconfirmed.isUnheard(address, acceptedMilliseconds + unheardReserveMilliseconds)) {
					streams.get(address)?.resetConnection('the peer does not hear this stream');
				}
			}
		},
		close() {
			for (const stream of streams.values()) {
				stream.close();
			}

			stop();
		},
	};
};
