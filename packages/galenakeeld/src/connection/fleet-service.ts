import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {
	Client, connectivityState, credentials, Server, ServerCredentials, status, type sendUnaryData, type ClientWritableStream, type ServerReadableStream, type ServiceDefinition,
} from '@grpc/grpc-js';
import {createFault, detailOf, FaultKind} from '@galenakeel/model/request/fault.js';
import {
	decodeFrame, encodeFrame, FleetMessageKind, type FleetMessage,
} from '@galenakeel/model/connection/fleet-message.js';
import {createDelayDetector} from './delay-detector.js';

const serialize = (bytes: Uint8Array) => Buffer.from(bytes);
const deserialize = (bytes: Uint8Array): Uint8Array => bytes;

/** Client-streaming call that carries messages from one daemon to another. Each daemon opens one in its own direction. */
const exchange = {
	path: '/galenakeel.Fleet/Exchange',
	requestStream: true,
	responseStream: false,
	requestSerialize: serialize,
	requestDeserialize: deserialize,
	responseSerialize: serialize,
	responseDeserialize: deserialize,
} as const;

const fleetService: ServiceDefinition = {exchange};

/** Each stream has its own connection. The long backoff disables reconnection by gRPC, because `createPeerStream` reconnects. */
const channelOptions = Object.fromEntries([
	['grpc.use_local_subchannel_pool', 1],
	['grpc.enable_http_proxy', 0],
	['grpc.initial_reconnect_backoff_ms', 60_000],
	['grpc.max_reconnect_backoff_ms', 60_000],
]);

/** Number of unsent frames above which the connection to a peer that does not read is closed. */
const maximumUnsentFrames = 4096;
const connectTimeoutMilliseconds = 400;
/** Delay above the smallest one, beyond which messages are discarded: by then the sender has declared this daemon lost. */
const maximumDelayMilliseconds = 600;

/** Messages that a holder needs only after the owner is lost, so they wait for the next urgent message or heartbeat. Losing them is safe: a holder assumes that a lost owner may have started tasks. */
const deferrableKinds: ReadonlySet<FleetMessageKind> = new Set([FleetMessageKind.Started, FleetMessageKind.TaskSucceeded]);

const isUrgent = ({kind}: FleetMessage): boolean => !deferrableKinds.has(kind);

/** Waits until the connection is established. Rejects on timeout, or at once when the connection is refused. */
const awaitReady = async (client: Client, onRefused: () => void): Promise<void> => {
	const channel = client.getChannel();
	const deadline = Date.now() + connectTimeoutMilliseconds;
	for (let state = channel.getConnectivityState(true); state !== connectivityState.READY; state = channel.getConnectivityState(true)) {
		if (state === connectivityState.TRANSIENT_FAILURE) {
			onRefused();
			throw new Error('connection refused');
		}

		await new Promise<void>((resolve, reject) => {
			channel.watchConnectivityState(state, deadline, error => {
				if (error) {
					reject(error);
				} else {
					resolve();
				}
			});
		});
	}
};

/**
Observes a frame that was encoded or decoded, with its size and the time that this took.
*/
export type FrameObserver = (messages: readonly FleetMessage[], bytes: number, codingMilliseconds: number) => void;

/**
Starts the server that receives message streams from peers.

@param onMessage Called for each message of a stream, in order. A stream may break at any time and be reopened by the peer.
@param onBroken Called when a stream has ended, with the address from its first heartbeat, or an empty string if there was none.
@param onReadError Called with the reason when reading a stream fails or a message is rejected.
@param onFrame Called for each frame that was decoded.
@returns A function that shuts the server down at once.
*/
export const serveFleet = async (address: string, handlers: {
	readonly onMessage: (message: FleetMessage, from: string) => void;
	/** Called after the first heartbeat of a stream. Messages sent on an earlier stream may be lost. */
	readonly onOpened: (from: string) => void;
	readonly onBroken: (from: string) => void;
	readonly onReadError: (detail: string) => void;
	readonly onFrame: FrameObserver;
}): Promise<() => void> => {
	const readFrames = async (stream: ServerReadableStream<Uint8Array, Uint8Array>, onSender: (from: string) => void): Promise<void> => {
		const isDelayed = createDelayDetector(maximumDelayMilliseconds);
		let from = '';
		for await (const bytes of stream as AsyncIterable<Uint8Array>) {
			const receivedAt = performance.now();
			const {sentAt, messages} = decodeFrame(bytes);
			handlers.onFrame(messages, bytes.length, performance.now() - receivedAt);
			if (isDelayed(sentAt, receivedAt)) {
				throw createFault(FaultKind.InstanceUnreachable, 'messages were held up on their way, and what they ask for may be out of date');
			}

			for (const message of messages) {
				const isFirst = from === '' && message.kind === FleetMessageKind.Heartbeat;
				if (isFirst) {
					from = message.address;
					onSender(from);
				}

				handlers.onMessage(message, from);
				if (isFirst) {
					handlers.onOpened(from);
				}
			}
		}
	};

	/** Reads one stream until it ends. If the stream is aborted, the peer opens another. */
	const receive = async (stream: ServerReadableStream<Uint8Array, Uint8Array>, callback: sendUnaryData<Uint8Array>): Promise<void> => {
		let from = '';
		try {
			await readFrames(stream, sender => {
				from = sender;
			});
		} catch (error) {
			handlers.onReadError(detailOf(error));
			callback({code: status.ABORTED, details: detailOf(error)});
		}

		handlers.onBroken(from);
	};

	const server = new Server();
	server.addService(fleetService, {
		exchange(stream: ServerReadableStream<Uint8Array, Uint8Array>, callback: sendUnaryData<Uint8Array>) {
			void receive(stream, callback);
		},
	});
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(address, ServerCredentials.createInsecure(), error => {
			if (error) {
				reject(error);
			} else {
				resolve();
			}
		});
	});
	return () => {
		server.forceShutdown();
	};
};

/**
Outgoing message stream to one peer.
*/
export type PeerStream = {
	/** Queues a message. Messages are dropped while the stream is not connected. */
	readonly send: (message: FleetMessage) => void;
	/** Connects, sends queued messages and one heartbeat per interval, and reconnects after a failure, until the stream is closed. */
	readonly run: () => Promise<void>;
	/** Skips the rest of the pause between connection attempts, for use when a heartbeat from the peer has arrived. */
	readonly dialNow: () => void;
	/** Closes the connection and opens a new one. After a network partition heals, the old connection stays stalled for seconds because TCP backs off its retransmissions exponentially. */
	readonly resetConnection: (reason: string) => void;
	readonly close: () => void;
};

/**
Creates the outgoing stream to a peer. It connects when `run` is called.

@param options.createHeartbeat Creates a heartbeat with the current state.
@example
```
const stream = createPeerStream('10.1.0.13:7720', {createHeartbeat, heartbeatIntervalMilliseconds: () => 100, batchMilliseconds: 1, redialMilliseconds: () => 250, onConnected, onBroken, onRefused, onFrame});
void stream.run();
```
*/
export const createPeerStream = (address: string, options: {
	readonly createHeartbeat: () => FleetMessage;
	/** Heartbeat interval, read again after each frame so that a shorter one applies at once. */
	readonly heartbeatIntervalMilliseconds: () => number;
	/** How long messages are collected into one frame after an urgent one. */
	readonly batchMilliseconds: number;
	readonly redialMilliseconds: () => number;
	readonly onConnected: () => void;
	readonly onBroken: (detail: string) => void;
	/** Called when a connection attempt is refused. */
	readonly onRefused: () => void;
	readonly onFrame: FrameObserver;
}): PeerStream => {
	let queued: FleetMessage[] = [];
	let isConnected = false;
	let wake: (() => void) | undefined;
	let endPause: (() => void) | undefined;
	let breakConnection: ((reason: string) => void) | undefined;
	const closing = new AbortController();

	const pause = async (): Promise<void> => new Promise(resolve => {
		const timer = setTimeout(resolve, options.redialMilliseconds());
		endPause = () => {
			clearTimeout(timer);
			resolve();
		};
	});

	const awaitMessages = async (timeoutMilliseconds: number): Promise<void> => new Promise(resolve => {
		const timer = setTimeout(resolve, timeoutMilliseconds);
		wake = () => {
			wake = undefined;
			clearTimeout(timer);
			setTimeout(resolve, options.batchMilliseconds);
		};

		if (queued.some(message => isUrgent(message))) {
			wake();
		}
	});

	const sendUntilBroken = async (call: ClientWritableStream<Uint8Array>, broken: AbortSignal): Promise<void> => {
		let lastHeartbeatAt = Number.NEGATIVE_INFINITY;
		/** Interval when the last heartbeat was created. The peer expects the next heartbeat within this interval, even if it has since become longer. */
		let interval = 0;

		const millisecondsUntilHeartbeat = (): number => lastHeartbeatAt + Math.min(interval, options.heartbeatIntervalMilliseconds()) - performance.now();

		while (!broken.aborted) {
			if (millisecondsUntilHeartbeat() <= 1) {
				lastHeartbeatAt = performance.now();
				interval = options.heartbeatIntervalMilliseconds();
				queued.unshift(options.createHeartbeat());
			}

			if (queued.length > 0) {
				const sentAt = performance.now();
				const frame = encodeFrame({sentAt, messages: queued});
				options.onFrame(queued, frame.length, performance.now() - sentAt);
				queued = [];
				call.write(frame);
			}

			await awaitMessages(Math.max(0, millisecondsUntilHeartbeat()));
			if (call.writableLength > maximumUnsentFrames) {
				throw new Error('too many unsent frames: the peer does not read the stream');
			}
		}
	};

	const connect = async (): Promise<void> => {
		const client = new Client(address, credentials.createInsecure(), channelOptions);
		const broken = new AbortController();
		try {
			await awaitReady(client, options.onRefused);
			const call = client.makeClientStreamRequest(exchange.path, serialize, deserialize, error => {
				broken.abort(error);
				wake?.();
			});
			call.on('error', error => {
				broken.abort(error);
				wake?.();
			});
			queued = [];
			isConnected = true;
			breakConnection = reason => {
				broken.abort(new Error(reason));
				wake?.();
			};

			options.onConnected();
			await sendUntilBroken(call, broken.signal);
			throw new Error(`stream ended: ${detailOf(broken.signal.reason)}`);
		} finally {
			isConnected = false;
			breakConnection = undefined;
			client.close();
		}
	};

	return {
		send(message) {
			if (isConnected) {
				queued.push(message);
				if (isUrgent(message)) {
					wake?.();
				}
			}
		},
		async run() {
			while (!closing.signal.aborted) {
				try {
					await connect();
				} catch (error) {
					options.onBroken(detailOf(error));
				}

				if (!closing.signal.aborted) {
					await pause();
				}
			}
		},
		dialNow() {
			endPause?.();
		},
		resetConnection(reason) {
			breakConnection?.(reason);
		},
		close() {
			closing.abort();
			endPause?.();
		},
	};
};
