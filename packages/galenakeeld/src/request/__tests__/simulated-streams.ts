/**
The streams between simulated daemons: each delivers in order after a delay, until it breaks.
*/
import {performance} from 'node:perf_hooks';
import {
	FleetMessageKind, type FleetFrame, type FleetMessage, type Heartbeat,
} from '@galenakeel/model/connection/fleet-message.js';
import {createDelayDetector} from '../../connection/delay-detector.js';
import type {createPeerStream, PeerStream, serveFleet} from '../../connection/fleet-service.js';
import type {ConversationHistory} from './conversation-history.js';
import type {SeededRandom} from './seeded-random.js';
import type {SimulatedProcess, SimulatedProcesses} from './simulated-processes.js';

type ServeHandlers = Parameters<typeof serveFleet>[1];
type StreamOptions = Parameters<typeof createPeerStream>[1];

/**
The streams of a fleet.
*/
export type SimulatedStreams = {
	/** The functions with which a daemon accepts and opens streams. */
	readonly of: (process: SimulatedProcess) => {readonly serve: typeof serveFleet; readonly openStream: typeof createPeerStream};
	/** Breaks the stream from one daemon to another. The first messages on their way may still arrive; the others are lost. */
	readonly breakStream: (from: string, to: string) => void;
	/** Breaks all streams from and to a daemon. */
	readonly breakAll: (daemon: string) => void;
	/** For some time, breaks streams now and then while messages about jobs are on their way, in milliseconds. */
	readonly breakOnMessages: (milliseconds: number) => void;
	/** Number of messages that were read, by kind. */
	readonly messages: ReadonlyMap<FleetMessageKind, number>;
	/** Holds up what one daemon sends to another, in milliseconds. */
	readonly holdUp: (from: string, to: string, milliseconds: number) => void;
};

type Server = {
	readonly process: SimulatedProcess;
	readonly handlers: ServeHandlers;
	/** Monotonic milliseconds of the last observed turn of its event loop. */
	turnedAt: number;
};

type Transit = {readonly frame: FleetFrame; readonly arrivesAt: number; isLost: boolean};

type Connection = {
	readonly from: SimulatedProcess;
	readonly to: SimulatedProcess;
	readonly source: string;
	isOpen: boolean;
	arrivesAt: number;
	transits: Transit[];
	/** Called at the sender when the connection has ended. */
	readonly onClosed: () => void;
	/** Called at the receiver for each frame, and when the connection has ended. */
	receive: (frame: FleetFrame) => void;
	end: () => void;
};

const leastDelayMilliseconds = 1;
const mostDelayMilliseconds = 4;
const connectMilliseconds = 2;
/** Probability that a frame about jobs breaks its stream while streams are fragile. */
const fragileProbability = 0.2;
/** As in `serveFleet`. */
const maximumDelayMilliseconds = 600;
const maximumHeartbeatGapMilliseconds = 1000;
const turnMilliseconds = 250;
const deferrableKinds: ReadonlySet<FleetMessageKind> = new Set([FleetMessageKind.Started, FleetMessageKind.TaskSucceeded]);
const quietKinds: ReadonlySet<FleetMessageKind> = new Set([FleetMessageKind.Heartbeat, FleetMessageKind.KeepAlive, FleetMessageKind.Load]);

const toldFields = ['part', 'assignment', 'excluded', 'generation', 'isCommitted', 'position', 'positions', 'cell', 'isComplete', 'hasStarted', 'succeeded', 'redirects', 'reason'];

const isHeartbeat = ({kind}: FleetMessage): boolean => kind === FleetMessageKind.Heartbeat || kind === FleetMessageKind.KeepAlive;

const describeMessage = (message: FleetMessage): string => {
	const fields = new Map(Object.entries(message.kind === FleetMessageKind.Submit ? {...message.order, cell: message.cell} : message));
	return `${message.kind} ${toldFields.filter(name => fields.get(name) !== undefined).map(name => `${name}=${JSON.stringify(fields.get(name))}`).join(' ')}`;
};

const jobOf = (message: FleetMessage): string | undefined => message.kind === FleetMessageKind.Submit ? message.order.job.identifier : (message as {readonly job?: string}).job;

/**
Creates the streams.

@example
```
const streams = createSimulatedStreams(processes, random, history);
const links = await createFleetLinks({...streams.of(process), address: process.name, ...options});
streams.breakStream('north-1', 'south-1');
```
*/
export const createSimulatedStreams = (processes: SimulatedProcesses, random: SeededRandom, history: ConversationHistory): SimulatedStreams => {
	const servers = new Map<string, Server>();
	const connections = new Map<string, Connection>();
	const heldUntil = new Map<string, number>();
	let connectionCount = 0;
	let isFragileUntil = 0;

	const messageCounts = new Map<FleetMessageKind, number>();

	const keyOf = (from: string, to: string): string => `${from} ${to}`;

	const recordMessages = (verb: string, from: string, to: string, {messages}: FleetFrame): void => {
		for (const message of messages) {
			if (!quietKinds.has(message.kind)) {
				history.record(jobOf(message), `${from} -> ${to} ${verb} ${describeMessage(message)}`);
			}
		}
	};

	const after = (milliseconds: number, action: () => void): void => {
		processes.outside(() => setTimeout(action, milliseconds));
	};

	/** Ends a connection; what is on its way after a random frame is lost. */
	const end = (connection: Connection): void => {
		if (!connection.isOpen) {
			return;
		}

		connection.isOpen = false;
		const kept = random.integer(0, connection.transits.length);
		for (const transit of connection.transits.slice(kept)) {
			transit.isLost = true;
			recordMessages('LOST', connection.from.name, connection.to.name, transit.frame);
		}

		const endsAt = connection.transits[kept - 1]?.arrivesAt ?? performance.now();
		after(Math.max(leastDelayMilliseconds, endsAt + 1 - performance.now()), () => {
			connection.to.execute(connection.source, () => {
				connection.end();
			});
		});
		after(leastDelayMilliseconds, () => {
			connection.from.execute(`${connection.source} sender`, connection.onClosed);
		});
	};

	/** Reads the frames of one connection, as `serveFleet` does. */
	const accept = (connection: Connection, handlers: ServeHandlers): void => {
		const isDelayed = createDelayDetector(maximumDelayMilliseconds);
		let from = '';
		let described: Heartbeat | undefined;
		let hasEnded = false;

		const receiveMessage = (message: FleetMessage): void => {
			messageCounts.set(message.kind, (messageCounts.get(message.kind) ?? 0) + 1);
			if (message.kind === FleetMessageKind.KeepAlive) {
				if (described) {
					handlers.onKeepAlive(message, described);
				}

				return;
			}

			const isFirst = from === '' && message.kind === FleetMessageKind.Heartbeat;
			described = message.kind === FleetMessageKind.Heartbeat ? message : described;
			from = isFirst ? message.address : from;
			handlers.onMessage(message, from);
			if (isFirst) {
				history.record(undefined, `${connection.to.name} reads a new stream of ${from}`);
				handlers.onOpened(from);
			}
		};

		connection.receive = frame => {
			if (hasEnded) {
				recordMessages('DISCARDED', connection.from.name, connection.to.name, frame);
				return;
			}

			if (isDelayed(frame.sentAt, performance.now())) {
				recordMessages('DISCARDED', connection.from.name, connection.to.name, frame);
				connection.end();
				end(connection);
				return;
			}

			recordMessages('read', connection.from.name, connection.to.name, frame);
			if (from !== '' && !frame.messages.some(message => isHeartbeat(message))) {
				handlers.onContact(from);
			}

			for (const message of frame.messages) {
				receiveMessage(message);
			}

			if (described) {
				handlers.onFrameProcessed(described, frame);
			}
		};

		connection.end = () => {
			if (!hasEnded) {
				hasEnded = true;
				handlers.onBroken(from);
			}
		};
	};

	const open = (from: SimulatedProcess, to: string, onClosed: () => void): Connection => {
		const server = servers.get(to)!;
		connectionCount++;
		const connection: Connection = {
			from, to: server.process, source: `stream ${connectionCount}`, isOpen: true, arrivesAt: performance.now(), transits: [], onClosed, receive() {
				// Nothing is read before the connection is accepted.
			}, end() {
				// The same.
			},
		};
		connections.set(keyOf(from.name, to), connection);
		// A connection is accepted in one turn and read in a later one.
		server.process.executeLast(connection.source, () => {
			// As in `serveFleet`: a connection that may have waited while the process stood still is closed.
			if (performance.now() - server.turnedAt > maximumDelayMilliseconds) {
				end(connection);
			} else {
				accept(connection, server.handlers);
			}
		});
		return connection;
	};

	const write = (connection: Connection, frame: FleetFrame): void => {
		const {from, to} = connection;
		if (!connection.isOpen) {
			recordMessages('LOST', from.name, to.name, frame);
			return;
		}

		recordMessages('sends', from.name, to.name, frame);
		const heldMilliseconds = (heldUntil.get(keyOf(from.name, to.name)) ?? 0) - performance.now();
		const delay = Math.max(heldMilliseconds, random.integer(leastDelayMilliseconds, mostDelayMilliseconds));
		connection.arrivesAt = Math.max(connection.arrivesAt, performance.now() + delay);
		const transit: Transit = {frame, arrivesAt: connection.arrivesAt, isLost: false};
		connection.transits.push(transit);
		after(connection.arrivesAt - performance.now(), () => {
			connection.transits = connection.transits.filter(one => one !== transit);
			if (!transit.isLost) {
				to.execute(connection.source, () => {
					connection.receive(frame);
				});
			}
		});
	};

	/** Breaks a fragile stream, before or after the frame arrives. */
	const breakIfFragile = (connection: Connection, {messages}: FleetFrame): void => {
		const isAboutJobs = messages.some(({kind}) => !quietKinds.has(kind));
		if (isAboutJobs && performance.now() < isFragileUntil && random.isChosen(fragileProbability)) {
			if (random.isChosen(0.5)) {
				end(connection);
				return;
			}

			after(random.integer(leastDelayMilliseconds, mostDelayMilliseconds), () => {
				end(connection);
			});
		}
	};

	/** An outgoing stream, as `createPeerStream` creates it. */
	const createStream = (process: SimulatedProcess, address: string, options: StreamOptions): PeerStream => {
		let connection: Connection | undefined;
		let queued: FleetMessage[] = [];
		let isClosed = false;
		let frameTimer: NodeJS.Timeout | undefined;
		let heartbeatTimer: NodeJS.Timeout | undefined;
		let redialTimer: NodeJS.Timeout | undefined;
		let lastSentAt = 0;
		let lastHeartbeatAt = 0;
		let interval = 0;

		const millisecondsUntilHeartbeat = (): number => {
			if (options.heartbeatIntervalMilliseconds() < interval) {
				return 0;
			}

			return Math.min(lastSentAt + interval, lastHeartbeatAt + Math.max(interval, maximumHeartbeatGapMilliseconds)) - performance.now();
		};

		const sendFrame = (): void => {
			frameTimer = undefined;
			if (!connection || isClosed) {
				return;
			}

			if (millisecondsUntilHeartbeat() <= 1) {
				lastHeartbeatAt = performance.now();
				interval = options.heartbeatIntervalMilliseconds();
				queued.unshift(options.createHeartbeat());
			}

			if (queued.length > 0) {
				lastSentAt = performance.now();
				const heard = options.heard();
				const frame: FleetFrame = {sentAt: lastSentAt, ...(heard && {heard}), messages: queued};
				options.onSent(lastSentAt);
				write(connection, frame);
				breakIfFragile(connection, frame);
				queued = [];
			}

			clearTimeout(heartbeatTimer);
			heartbeatTimer = setTimeout(sendFrame, Math.max(1, millisecondsUntilHeartbeat()));
		};

		const sendSoon = (): void => {
			frameTimer ??= setTimeout(sendFrame, options.batchMilliseconds);
		};

		const dial = (): void => {
			clearTimeout(redialTimer);
			redialTimer = undefined;
			setTimeout(() => {
				if (isClosed || connection) {
					return;
				}

				const opened = open(process, address, () => {
					if (connection === opened) {
						connection = undefined;
						history.record(undefined, `${process.name} has lost its stream to ${address}`);
						options.onBroken('broken');
						redialTimer = setTimeout(dial, options.redialMilliseconds());
					}
				});
				connection = opened;
				queued = [];
				lastSentAt = 0;
				lastHeartbeatAt = 0;
				interval = Number.POSITIVE_INFINITY;
				history.record(undefined, `${process.name} has opened a stream to ${address}`);
				options.onConnected();
				sendFrame();
			}, connectMilliseconds);
		};

		return {
			isConnected: () => connection !== undefined,
			send(message) {
				if (connection) {
					queued.push(message);
					if (!deferrableKinds.has(message.kind)) {
						sendSoon();
					}
				}
			},
			async run() {
				dial();
			},
			reviewInterval: sendSoon,
			dialNow() {
				if (redialTimer) {
					dial();
				}
			},
			resetConnection() {
				if (connection) {
					end(connection);
				}
			},
			close() {
				isClosed = true;
			},
		};
	};

	return {
		of: process => ({
			async serve(address, handlers) {
				const server: Server = {process, handlers, turnedAt: performance.now()};
				servers.set(address, server);
				const turnTimer = setInterval(() => {
					setImmediate(() => {
						server.turnedAt = performance.now();
					});
				}, turnMilliseconds);
				return () => {
					clearInterval(turnTimer);
					servers.delete(address);
				};
			},
			openStream: (address, options) => createStream(process, address, options),
		}),
		messages: messageCounts,
		breakOnMessages(milliseconds) {
			isFragileUntil = performance.now() + milliseconds;
		},
		breakAll(daemon) {
			for (const connection of connections.values()) {
				if (connection.from.name === daemon || connection.to.name === daemon) {
					end(connection);
				}
			}
		},
		breakStream(from, to) {
			const connection = connections.get(keyOf(from, to));
			if (connection) {
				end(connection);
			}
		},
		holdUp(from, to, milliseconds) {
			heldUntil.set(keyOf(from, to), performance.now() + milliseconds);
		},
	};
};
