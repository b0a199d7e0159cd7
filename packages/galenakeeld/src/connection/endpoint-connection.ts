import {Buffer} from 'node:buffer';
import {
	Agent, request as httpRequest, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {performance} from 'node:perf_hooks';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import type {HeaderList} from '@galenakeel/model/request/task.js';
import {collectBody, headersForEndpoint, headerListOf} from './http-encoding.js';

/**
What is sent to an endpoint.
*/
export type EndpointRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array | Readable;
	readonly timeoutMilliseconds: number;
	/** Called when the connection stands and before the first byte goes out; a throw keeps the request from being sent. */
	readonly beforeFirstByte: () => void;
};

/**
What came back from an endpoint.
*/
export type EndpointAnswer = {
	readonly status: number;
	readonly headers: HeaderList;
	/** The whole body, or its beginning when `rest` is present. */
	readonly body: Uint8Array;
	/** The remainder of a body that is too long to be held; it errors when the endpoint breaks off. */
	readonly rest?: Readable;
};

/**
A request with the promise of its answer.
*/
export type EndpointExchange = {readonly request: EndpointRequest; readonly answer: Deferred<EndpointAnswer>};

/**
Limits of one connection to an endpoint.
*/
export type EndpointConnectionLimits = {
	readonly connectTimeoutMilliseconds: number;
	/** Tasks that the connection carries, so that no answer can be taken for that of a later task. */
	readonly tasksPerConnection: number;
	/** Longest answer that is held in memory before it is passed on. */
	readonly bufferedBodyBytes: number;
};

const connectSocket = async (request: ClientRequest, address: string, timeoutMilliseconds: number): Promise<Socket> => {
	const timer = setTimeout(() => {
		request.destroy(createFault(FaultKind.EndpointUnreachable, `endpoint ${address} did not accept a connection within ${timeoutMilliseconds} ms`));
	}, timeoutMilliseconds);
	try {
		const [socket] = await once(request, 'socket') as [Socket];
		if (socket.connecting) {
			await once(socket, 'connect');
		}

		return socket;
	} finally {
		clearTimeout(timer);
	}
};

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
Refuses an answer whose end is the end of its connection, since a broken connection ends in the same way.
*/
const assertDelimited = (response: IncomingMessage, method: string, address: string): void => {
	const {'content-length': length, 'transfer-encoding': coding} = response.headers;
	if (length === undefined && coding === undefined && method !== 'HEAD' && !bodilessStatuses.has(response.statusCode!)) {
		throw createFault(FaultKind.EndpointBroken, `endpoint ${address} sent an answer without Content-Length and Transfer-Encoding, whose end can't be told from a cut`);
	}
};

const sendBody = async (request: ClientRequest, body: Uint8Array | Readable): Promise<void> => {
	if (body instanceof Readable) {
		await pipeline(body, request);
	} else {
		request.end(body);
	}
};

/**
The socket of the last exchange, and how many bytes it had received by its end.
*/
type LastUse = {readonly socket: Socket; readonly bytesRead: number};

type ExchangeLimits = EndpointConnectionLimits & {readonly last: LastUse | undefined};

/**
Refuses a socket that received bytes while no request was under way: what comes next might answer an earlier request.
*/
const assertQuiet = (socket: Socket, last: LastUse | undefined, address: string): void => {
	if (last?.socket === socket && socket.bytesRead !== last.bytesRead) {
		throw createFault(FaultKind.EndpointUnreachable, `endpoint ${address} sent bytes that no request had asked for`);
	}
};

/**
Performs one request.

@returns What the next request must know of the connection; `undefined` when it may not carry another.
*/
const performExchange = async (agent: Agent, address: string, {request: wanted, answer}: EndpointExchange, limits: ExchangeLimits): Promise<LastUse | undefined> => {
	const [host, port] = splitAddress(address);
	const outgoing = httpRequest({
		agent, host, port, method: wanted.method, path: wanted.path, headers: headersForEndpoint(wanted.headers, address, wanted.body), setHost: false,
	});
	let failure: unknown;
	outgoing.on('error', error => {
		failure ??= error;
	});
	let hasStarted = false;
	let timer: NodeJS.Timeout | undefined;
	try {
		const socket = await connectSocket(outgoing, address, limits.connectTimeoutMilliseconds);
		assertQuiet(socket, limits.last, address);
		wanted.beforeFirstByte();
		hasStarted = true;
		timer = setTimeout(() => {
			outgoing.destroy(createFault(FaultKind.EndpointTimeout, `endpoint ${address} sent no whole answer within ${Math.round(wanted.timeoutMilliseconds)} ms`));
		}, wanted.timeoutMilliseconds);
		const responded = once(outgoing, 'response') as Promise<[IncomingMessage]>;
		const [[response]] = await Promise.all([responded, sendBody(outgoing, wanted.body)]);
		assertDelimited(response, wanted.method, address);
		const {chunks, isWhole} = await collectBody(response, limits.bufferedBodyBytes);
		answer.resolve({
			status: response.statusCode!,
			headers: headerListOf(response.rawHeaders),
			body: Buffer.concat(chunks),
			...(!isWhole && {rest: response}),
		});
		if (!isWhole) {
			await once(response, 'close');
		}

		return outgoing.shouldKeepAlive && response.complete ? {socket, bytesRead: socket.bytesRead} : undefined;
	} catch (error) {
		outgoing.destroy();
		answer.reject(faultOf(failure ?? error, address, hasStarted));
		return undefined;
	} finally {
		clearTimeout(timer);
	}
};

const faultOf = (error: unknown, address: string, hasStarted: boolean): unknown => {
	if (error instanceof Error && 'code' in error) {
		return hasStarted
			? createFault(FaultKind.EndpointBroken, `the connection to endpoint ${address} broke before a whole answer`, error)
			: createFault(FaultKind.EndpointUnreachable, `endpoint ${address} could not be reached`, error);
	}

	return error;
};

/**
Serves one connection to an endpoint: one request at a time, each with its whole answer, until the connection breaks, has carried its number of tasks, or no further request comes.

@param nextExchange Waits for the next request; `undefined` ends the connection.

@example
```
void runEndpointConnection('10.1.2.3:8080', async () => pool.next(), limits);
```
*/
export const runEndpointConnection = async (address: string, nextExchange: () => Promise<EndpointExchange | undefined>, limits: EndpointConnectionLimits): Promise<void> => {
	const agent = new Agent({keepAlive: limits.tasksPerConnection > 1, maxSockets: 1});
	let last: LastUse | undefined;
	try {
		for (let task = 1; task <= limits.tasksPerConnection; task++) {
			const exchange = await nextExchange();
			if (!exchange) {
				return;
			}

			last = await performExchange(agent, address, exchange, {...limits, last});
			if (!last) {
				return;
			}
		}
	} finally {
		agent.destroy();
	}
};

/**
Sends requests to endpoints over connections that are kept for the next request.
*/
export type EndpointConnections = {
	/** @throws A fault of kind `EndpointUnreachable` when no byte went out, `EndpointTimeout` or `EndpointBroken` afterwards, or what `beforeFirstByte` threw. */
	readonly send: (address: string, request: EndpointRequest) => Promise<EndpointAnswer>;
	/** Closes connections that have been idle or open for too long. */
	readonly sweep: () => void;
	readonly open: () => number;
};

type IdleConnection = {readonly take: (exchange: EndpointExchange | undefined) => void; readonly openedAt: number; readonly idleSince: number};

type EndpointPool = {idle: IdleConnection[]; open: number; suspectBefore: number};

/**
Creates the connections to all endpoints of this process, none of them open yet.
*/
export const createEndpointConnections = (limits: EndpointConnectionLimits & {readonly maximumIdleMilliseconds: number; readonly maximumAgeMilliseconds: number}): EndpointConnections => {
	const pools = new Map<string, EndpointPool>();

	const poolOf = (address: string): EndpointPool => {
		let pool = pools.get(address);
		if (!pool) {
			pool = {idle: [], open: 0, suspectBefore: 0};
			pools.set(address, pool);
		}

		return pool;
	};

	const isTrusted = (pool: EndpointPool, connection: IdleConnection, now: number): boolean =>
		now - connection.idleSince < limits.maximumIdleMilliseconds
		&& now - connection.openedAt < limits.maximumAgeMilliseconds
		&& connection.openedAt >= pool.suspectBefore;

	const takeIdle = (pool: EndpointPool): IdleConnection | undefined => {
		const now = performance.now();
		for (;;) {
			const connection = pool.idle.pop();
			if (!connection || isTrusted(pool, connection, now)) {
				return connection;
			}

			connection.take(undefined);
		}
	};

	const openConnection = async (address: string, pool: EndpointPool, first: EndpointExchange): Promise<void> => {
		const openedAt = performance.now();
		let upcoming: EndpointExchange | undefined = first;
		pool.open++;
		try {
			await runEndpointConnection(address, async () => {
				if (upcoming) {
					const exchange = upcoming;
					upcoming = undefined;
					return exchange;
				}

				const next = createDeferred<EndpointExchange | undefined>();
				pool.idle.push({take: next.resolve, openedAt, idleSince: performance.now()});
				return next.promise;
			}, limits);
		} finally {
			pool.open--;
		}
	};

	return {
		async send(address, request) {
			const pool = poolOf(address);
			const answer = createDeferred<EndpointAnswer>();
			const idle = takeIdle(pool);
			if (idle) {
				idle.take({request, answer});
			} else {
				void openConnection(address, pool, {request, answer});
			}

			try {
				return await answer.promise;
			} catch (error) {
				// Whatever silenced this connection may have silenced the others that are as old.
				pool.suspectBefore = performance.now();
				throw error;
			}
		},
		sweep() {
			const now = performance.now();
			for (const [address, pool] of pools) {
				const stale = pool.idle.filter(connection => !isTrusted(pool, connection, now));
				pool.idle = pool.idle.filter(connection => isTrusted(pool, connection, now));
				for (const connection of stale) {
					connection.take(undefined);
				}

				if (pool.open === 0) {
					pools.delete(address);
				}
			}
		},
		open() {
			let total = 0;
			for (const pool of pools.values()) {
				total += pool.open;
			}

			return total;
		},
	};
};
