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

/** One call streams the messages of one daemon to another; each daemon opens its own. */
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

/** Each stream has a connection of its own; it is replaced here rather than by the library. */
const channelOptions = Object.fromEntries([
	['grpc.use_local_subchannel_pool', 1],
	['grpc.enable_http_proxy', 0],
	['grpc.initial_reconnect_backoff_ms', 60_000],
	['grpc.max_reconnect_backoff_ms', 60_000],
]);

/** Unsent bytes after which a peer that doesn't read counts as silent. */
const maximumUnsentFrames = 4096;
const connectTimeoutMilliseconds = 400;
/** Delay over the usual one with which messages no longer count: the peer has given this daemon up by then. */
const maximumDelayMilliseconds = 600;

/** What a holder needs only when the owner is lost, so that it goes with the next message or beat. A lost owner may have started tasks in any case. */
const deferrableKinds: ReadonlySet<FleetMessageKind> = new Set([FleetMessageKind.Started, FleetMessageKind.TaskSucceeded]);

const isUrgent = ({kind}: FleetMessage): boolean => !deferrableKinds.has(kind);

/** Waits for a connection; rejects as soon as nothing listens at the address. */
const awaitReady = async (client: Client, onRefused: () => void): Promise<void> => {
	const channel = client.getChannel();
	const deadline = Date.now() + connectTimeoutMilliseconds;
	for (let state = channel.getConnectivityState(true); state !== connectivityState.READY; state = channel.getConnectivityState(true)) {
		if (state === connectivityState.TRANSIENT_FAILURE) {
			onRefused();
			throw new Error('the connection was refused');
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
Serves the streams of peers.

@param onMessage Called for each message in order; a stream may break at any time and be opened anew.
@param onBroken Called when a stream has ended, with the address of the last beat on it.
@returns A function that ends the service.
*/
export const serveFleet = async (address: string, handlers: {
	readonly onMessage: (message: FleetMessage, from: string) => void;
	/** Called after the first message of a stream; what was sent on an earlier one may be lost. */
	readonly onOpened: (from: string) => void;
	readonly onBroken: (from: string) => void;
	readonly onReadError: (detail: string) => void;
}): Promise<() => void> => {
	const readFrames = async (stream: ServerReadableStream<Uint8Array, Uint8Array>, onSender: (from: string) => void): Promise<void> => {
		const isDelayed = createDelayDetector(maximumDelayMilliseconds);
		let from = '';
		for await (const bytes of stream as AsyncIterable<Uint8Array>) {
			const {sentAt, messages} = decodeFrame(bytes);
			if (isDelayed(sentAt, performance.now())) {
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

	/** Reads one stream until it ends. The peer opens another when it is refused. */
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
The stream of messages to one peer.
*/
export type PeerStream = {
	/** Queues a message; what is queued while the peer is out of reach is dropped. */
	readonly send: (message: FleetMessage) => void;
	/** Runs until closed: connects, sends what is queued and a beat in each interval, connects again. */
	readonly run: () => Promise<void>;
	/** Ends a pause between two dials, as the peer has just been heard. */
	readonly dialNow: () => void;
	/** Gives the connection up and dials anew: one that was cut carries nothing for seconds after the cut has ended, as TCP waits longer after each loss. */
	readonly resetConnection: (reason: string) => void;
	readonly close: () => void;
};

/**
Creates the stream to a peer.

@param options.createBeat Makes the beat of this moment.
@example
```
const stream = createPeerStream('10.1.0.13:7720', {createBeat, beatMilliseconds: () => 100, gatherMilliseconds: 1, redialMilliseconds: 250, onConnected, onBroken});
void stream.run();
```
*/
export const createPeerStream = (address: string, options: {
	readonly createHeartbeat: () => FleetMessage;
	/** Time between two beats; asked for anew after each message. */
	readonly heartbeatIntervalMilliseconds: () => number;
	/** How long messages are gathered into one frame. */
	readonly batchMilliseconds: number;
	readonly redialMilliseconds: () => number;
	readonly onConnected: () => void;
	readonly onBroken: (detail: string) => void;
	/** Called when nothing listens at the address. */
	readonly onRefused: () => void;
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
		/** Interval that held when the last beat was made: the peer expects the next one by it. */
		let interval = 0;

		const millisecondsUntilHeartbeat = (): number => lastHeartbeatAt + Math.min(interval, options.heartbeatIntervalMilliseconds()) - performance.now();

		while (!broken.aborted) {
			if (millisecondsUntilHeartbeat() <= 1) {
				lastHeartbeatAt = performance.now();
				interval = options.heartbeatIntervalMilliseconds();
				queued.unshift(options.createHeartbeat());
			}

			if (queued.length > 0) {
				const frame = encodeFrame({sentAt: performance.now(), messages: queued});
				queued = [];
				call.write(frame);
			}

			await awaitMessages(Math.max(0, millisecondsUntilHeartbeat()));
			if (call.writableLength > maximumUnsentFrames) {
				throw new Error('the peer doesn\'t read');
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
			throw new Error(`the stream has ended: ${detailOf(broken.signal.reason)}`);
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
