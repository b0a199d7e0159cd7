import {Buffer} from 'node:buffer';
import {
	request as httpRequest, type Agent, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import type {Deferred} from '@galenakeel/model/request/deferred.js';
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
export type LastUse = {readonly socket: Socket; readonly bytesRead: number};

/**
Limits of one exchange, and what the connection carried before it.
*/
export type ExchangeLimits = {
	readonly connectTimeoutMilliseconds: number;
	/** Longest answer that is held in memory before it is passed on. */
	readonly bufferedBodyBytes: number;
	readonly last: LastUse | undefined;
};

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
export const performExchange = async (agent: Agent, address: string, {request: wanted, answer}: EndpointExchange, limits: ExchangeLimits): Promise<LastUse | undefined> => {
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
