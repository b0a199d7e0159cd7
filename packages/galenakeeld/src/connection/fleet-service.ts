import {once} from 'node:events';
import {connect as openSocket, createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createFault, detailOf, FaultKind} from '@galenakeel/model/request/fault.js';
import {
	decodeFrame, encodeFrame, FleetMessageKind, type FleetFrame, type FleetMessage, type HeardFrame, type Heartbeat, type KeepAlive,
} from '@galenakeel/model/connection/fleet-message.js';
import {createSuspensionDetector} from '../process/suspension-detector.js';
import {createDelayDetector} from './delay-detector.js';
import {createFrameSplitter, prefixLength} from './length-prefix.js';

/** Size of the unsent frames above which the connection to a peer that does not read is closed. */
const maximumUnsentBytes = 4_194_304;
const connectTimeoutMilliseconds = 400;
/** Delay above the smallest one, beyond which messages are discarded: by then the sender has declared this daemon lost. */
const maximumDelayMilliseconds = 600;

/** Maximum time between two heartbeats while other frames are sent, since only heartbeats announce a new interval or description. */
const maximumHeartbeatGapMilliseconds = 1000;

/** Interval at which the event loop is observed. */
const turnMilliseconds = 250;

/** Messages that a holder needs only after the owner is lost, so they wait for the next urgent message or heartbeat. Losing them is safe: a holder assumes that a lost owner may have started tasks. */
const deferrableKinds: ReadonlySet<FleetMessageKind> = new Set([FleetMessageKind.Started, FleetMessageKind.TaskSucceeded]);

const isHeartbeat = ({kind}: FleetMessage): boolean => kind === FleetMessageKind.Heartbeat || kind === FleetMessageKind.KeepAlive;

const isUrgent = ({kind}: FleetMessage): boolean => !deferrableKinds.has(kind);

const isRefusal = (error: unknown): boolean => (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';

/** Connects to a peer. Rejects on timeout, or at once when the connection is refused. */
const connectTo = async (address: string, onRefused: () => void): Promise<Socket> => {
	const [host, port] = splitAddress(address);
	const socket = openSocket({host, port, noDelay: true});
	const timer = setTimeout(() => {
		// An answer that arrived while this process was busy is processed first.
		setImmediate(() => {
			if (socket.connecting) {
				socket.destroy(new Error('no answer to the connection attempt'));
			}
		});
	}, connectTimeoutMilliseconds);
	try {
		await once(socket, 'connect');
		return socket;
	} catch (error) {
		if (isRefusal(error)) {
			onRefused();
		}

		throw error;
	} finally {
		clearTimeout(timer);
	}
};

/**
Observes a frame that was encoded or decoded, with its size, the time that this took and, where it was encoded, the size of each message.
*/
export type FrameObserver = (messages: readonly FleetMessage[], bytes: number, codingMilliseconds: number, messageBytes?: readonly number[]) => void;

/**
Starts the server that receives message streams from peers.

@param onMessage Called for each message of a stream except keep-alives, in order. A stream may break at any time and be reopened by the peer.
@param onKeepAlive Called for each keep-alive, with the last heartbeat of the same stream.
@param onBroken Called when a stream has ended, with the address from its first heartbeat. A connection without heartbeats carries a single message.
@param onReadError Called with the reason when reading a stream fails or a message is rejected.
@param onFrame Called for each frame that was decoded.
@returns A function that shuts the server down at once.
*/
export const serveFleet = async (address: string, handlers: {
	readonly onMessage: (message: FleetMessage, from: string) => void;
	readonly onKeepAlive: (keepAlive: KeepAlive, described: Heartbeat) => void;
	/** Called for each frame without a heartbeat or keep-alive, after the first heartbeat of its stream. */
	readonly onContact: (from: string) => void;
	/** Called for each frame after its messages, from the first heartbeat of its stream on, with the last heartbeat. */
	readonly onFrameProcessed: (described: Heartbeat, frame: FleetFrame) => void;
	/** Called after the first heartbeat of a stream. Messages sent on an earlier stream may be lost. */
	readonly onOpened: (from: string) => void;
	readonly onBroken: (from: string) => void;
	readonly onReadError: (detail: string) => void;
	readonly onFrame: FrameObserver;
}): Promise<() => void> => {
	const sockets = new Set<Socket>();
	const lastSuspendedAt = createSuspensionDetector();

	const readFrames = async (socket: Socket, onSender: (from: string) => void): Promise<void> => {
		const openedAt = performance.now();
		const isDelayed = createDelayDetector(maximumDelayMilliseconds);
		const split = createFrameSplitter();
		let from = '';
		let described: Heartbeat | undefined;

		const receiveMessage = (message: FleetMessage): void => {
			if (message.kind === FleetMessageKind.KeepAlive) {
				if (described) {
					handlers.onKeepAlive(message, described);
				}

				return;
			}

			const isFirst = from === '' && message.kind === FleetMessageKind.Heartbeat;
			if (message.kind === FleetMessageKind.Heartbeat) {
				described = message;
			}

			if (isFirst) {
				from = message.address;
				onSender(from);
			}

			handlers.onMessage(message, from);
			if (isFirst) {
				handlers.onOpened(from);
			}
		};

		const receiveFrame = (bytes: Uint8Array): void => {
			const receivedAt = performance.now();
			const frame = decodeFrame(bytes);
			const {sentAt, messages} = frame;
			handlers.onFrame(messages, bytes.length, performance.now() - receivedAt);
			if (isDelayed(sentAt, receivedAt) || openedAt <= lastSuspendedAt()) {
				throw createFault(FaultKind.InstanceUnreachable, 'messages were held up on their way, and what they ask for may be out of date');
			}

			if (from !== '' && !messages.some(message => isHeartbeat(message))) {
				handlers.onContact(from);
			}

			for (const message of messages) {
				receiveMessage(message);
			}

			if (described) {
				handlers.onFrameProcessed(described, frame);
			}
		};

		for await (const chunk of socket as AsyncIterable<Uint8Array>) {
			for (const frame of split(chunk)) {
				receiveFrame(frame);
			}
		}
	};

	/** Reads one stream until it ends. If the stream is aborted, the peer opens another. */
	const receive = async (socket: Socket): Promise<void> => {
		let from = '';
		sockets.add(socket);
		socket.on('error', () => {
			// Reading fails with the same error.
		});
		try {
			await readFrames(socket, sender => {
				from = sender;
			});
		} catch (error) {
			handlers.onReadError(detailOf(error));
		}

		socket.destroy();
		sockets.delete(socket);
		if (from !== '') {
			handlers.onBroken(from);
		}
	};

	let turnedAt = performance.now();
	const turnTimer = setInterval(() => {
		// What arrived while this process stood still is accepted before that.
		setImmediate(() => {
			lastSuspendedAt();
			turnedAt = performance.now();
		});
	}, turnMilliseconds);

	const server = createServer({noDelay: true}, socket => {
		// The system accepts connections while this process stands still, and what was sent on them may be out of date.
		if (performance.now() - turnedAt > maximumDelayMilliseconds || turnedAt <= lastSuspendedAt()) {
			socket.destroy();
			return;
		}

		void receive(socket);
	});
	const [host, port] = splitAddress(address);
	server.listen(port, host);
	await once(server, 'listening');
	server.on('error', error => {
		handlers.onReadError(detailOf(error));
	});
	return () => {
		clearInterval(turnTimer);
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	};
};

/**
Sends one message to a peer on a connection of its own, so that messages on the stream to the peer don't wait behind it. Resolves when the peer has read it.

@throws If the peer can't be reached or hasn't read the message in time.

@example
```
await sendAlone('10.1.0.13:7720', {kind: FleetMessageKind.Configuration, configuration}, {timeoutMilliseconds: 2000, onFrame});
```
*/
export const sendAlone = async (address: string, message: FleetMessage, {timeoutMilliseconds, onFrame}: {readonly timeoutMilliseconds: number; readonly onFrame: FrameObserver}): Promise<void> => {
	const socket = await connectTo(address, () => undefined);
	const timer = setTimeout(() => {
		socket.destroy(new Error(`the peer has not read the message within ${timeoutMilliseconds} ms`));
	}, timeoutMilliseconds);
	try {
		const sentAt = performance.now();
		const {bytes, messageBytes} = encodeFrame({sentAt, messages: [message]});
		onFrame([message], bytes.length, performance.now() - sentAt, messageBytes);
		socket.resume();
		socket.end(prefixLength(bytes));
		await once(socket, 'close');
	} finally {
		clearTimeout(timer);
		socket.destroy();
	}
};

/**
Outgoing message stream to one peer.
*/
export type PeerStream = {
	readonly isConnected: () => boolean;
	/** Queues a message. Messages are dropped while the stream is not connected. */
	readonly send: (message: FleetMessage) => void;
	/** Connects, sends queued messages and one heartbeat per interval, and reconnects after a failure, until the stream is closed. */
	readonly run: () => Promise<void>;
	/** Checks at once whether a heartbeat is due, after its interval has become shorter. */
	readonly reviewInterval: () => void;
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
const stream = createPeerStream('10.1.0.13:7720', {createHeartbeat, heard: () => undefined, heartbeatIntervalMilliseconds: () => 100, batchMilliseconds: 1, redialMilliseconds: () => 250, onConnected, onBroken, onRefused, onSent, onFrame});
void stream.run();
```
*/
export const createPeerStream = (address: string, options: {
	readonly createHeartbeat: () => FleetMessage;
	/** What each frame confirms. */
	readonly heard: () => HeardFrame | undefined;
	/** Heartbeat interval, read again after each frame so that a shorter one applies at once. */
	readonly heartbeatIntervalMilliseconds: () => number;
	/** How long messages are collected into one frame after an urgent one. */
	readonly batchMilliseconds: number;
	readonly redialMilliseconds: () => number;
	readonly onConnected: () => void;
	readonly onBroken: (detail: string) => void;
	/** Called when a connection attempt is refused. */
	readonly onRefused: () => void;
	/** Called with the time of each frame, which a confirmation of the peer names. */
	readonly onSent: (sentAt: number) => void;
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

	const sendUntilBroken = async (socket: Socket, broken: AbortSignal): Promise<void> => {
		/** Time of the last frame; each shows that this daemon is alive. */
		let lastSentAt = Number.NEGATIVE_INFINITY;
		let lastHeartbeatAt = Number.NEGATIVE_INFINITY;
		/** Interval when the last heartbeat was created. The peer expects the next heartbeat within this interval, even if it has since become longer. */
		let interval = 0;

		/** A heartbeat is due at once when the interval has become shorter, since the peer doesn't know that yet. */
		const millisecondsUntilHeartbeat = (): number => {
			if (options.heartbeatIntervalMilliseconds() < interval) {
				return 0;
			}

			const dueAt = Math.min(lastSentAt + interval, lastHeartbeatAt + Math.max(interval, maximumHeartbeatGapMilliseconds));
			return dueAt - performance.now();
		};

		while (!broken.aborted) {
			if (millisecondsUntilHeartbeat() <= 1) {
				lastHeartbeatAt = performance.now();
				interval = options.heartbeatIntervalMilliseconds();
				queued.unshift(options.createHeartbeat());
			}

			if (queued.length > 0) {
				const sentAt = performance.now();
				lastSentAt = sentAt;
				const heard = options.heard();
				const {bytes, messageBytes} = encodeFrame({sentAt, ...(heard && {heard}), messages: queued});
				options.onFrame(queued, bytes.length, performance.now() - sentAt, messageBytes);
				options.onSent(sentAt);
				queued = [];
				socket.write(prefixLength(bytes));
			}

			await awaitMessages(Math.max(0, millisecondsUntilHeartbeat()));
			if (socket.writableLength > maximumUnsentBytes) {
				throw new Error('too many unsent frames: the peer does not read the stream');
			}
		}
	};

	const connect = async (): Promise<void> => {
		const socket = await connectTo(address, options.onRefused);
		const broken = new AbortController();
		const breakOff = (reason: Error): void => {
			broken.abort(reason);
			wake?.();
		};

		try {
			socket.on('error', breakOff);
			socket.on('close', () => {
				breakOff(new Error('the connection was closed'));
			});
			// The peer sends nothing; its end is noticed by reading.
			socket.resume();
			queued = [];
			isConnected = true;
			breakConnection = reason => {
				breakOff(new Error(reason));
			};

			options.onConnected();
			await sendUntilBroken(socket, broken.signal);
			throw new Error(`stream ended: ${detailOf(broken.signal.reason)}`);
		} finally {
			isConnected = false;
			breakConnection = undefined;
			socket.destroy();
		}
	};

	return {
		isConnected: () => isConnected,
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
		reviewInterval() {
			wake?.();
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
