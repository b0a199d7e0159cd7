import {Buffer} from 'node:buffer';
import {
	request as httpRequest, type ClientRequest, type IncomingMessage, type RequestOptions,
} from 'node:http';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import type {HeaderList} from '@galenakeel/model/request/task.js';
import {collectBody, headersForEndpoint, headerListOf} from './http-encoding.js';

/**
A request to an endpoint.
*/
export type EndpointRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array | Readable;
	/** Maximum number of open connections to the endpoint from all entry instances together. */
	readonly connections: number;
	readonly timeoutMilliseconds: number;
	/** Called after the connection is open and before the first byte is sent; if it throws, the request is not sent. */
	readonly beforeFirstByte: () => void;
};

/**
A response of an endpoint.
*/
export type EndpointAnswer = {
	readonly status: number;
	readonly headers: HeaderList;
	/** The complete body, or its first part when `rest` is present. */
	readonly body: Uint8Array;
	/** The remainder of a body that is too long to be buffered; it emits an error when the connection breaks. */
	readonly rest?: Readable;
};

/**
A request with the deferred that is settled with its answer.
*/
export type EndpointExchange = {readonly request: EndpointRequest; readonly answer: Deferred<EndpointAnswer>};

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
Rejects a response that is delimited by the end of its connection, since a truncated one would look the same.
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
An open connection, used by one exchange at a time.
*/
export type ExchangeConnection = {
	readonly socket: Socket;
	/** Number of bytes that the socket had received when the last exchange ended. */
	bytesRead: number;
	/** Request options that make Node's `http` use the socket. */
	readonly options: Pick<RequestOptions, 'agent' | 'createConnection'>;
};

/**
Waits for the header of the response; rejects when the request fails.
*/
const nextResponse = async (outgoing: ClientRequest): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	outgoing.once('response', resolve);
	outgoing.once('error', reject);
});

/**
Sends a request and resolves its answer. A streamed body is awaited to its end.

@returns Whether the connection can carry another request.
*/
const sendAndReceive = async (outgoing: ClientRequest, address: string, {request: endpointRequest, answer}: EndpointExchange, bufferedBodyBytes: number): Promise<boolean> => {
	const [response] = await Promise.all([nextResponse(outgoing), sendBody(outgoing, endpointRequest.body)]);
	assertDelimited(response, endpointRequest.method, address);
	const {chunks, isWhole} = await collectBody(response, bufferedBodyBytes);
	answer.resolve({
		status: response.statusCode!,
		headers: headerListOf(response.rawHeaders),
		body: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
		...(!isWhole && {rest: response}),
	});
	if (!isWhole) {
		await once(response, 'close');
	}

	return outgoing.shouldKeepAlive && response.complete;
};

/**
Performs one request over an open connection. A failure of the exchange rejects its answer.

@returns Whether the connection can carry another request.
*/
export const performExchange = async (connection: ExchangeConnection, address: string, exchange: EndpointExchange, bufferedBodyBytes: number): Promise<boolean> => {
	const {request: endpointRequest, answer} = exchange;
	const outgoing = httpRequest({
		...connection.options, method: endpointRequest.method, path: endpointRequest.path, headers: headersForEndpoint(endpointRequest.headers, address, endpointRequest.body), setHost: false,
	});
	let failure: unknown;
	outgoing.on('error', error => {
		failure ??= error;
	});
	const timeout = createDeferred<never>();
	let hasStarted = false;
	let timer: NodeJS.Timeout | undefined;
	try {
		endpointRequest.beforeFirstByte();
		hasStarted = true;
		timer = setTimeout(() => {
			const fault = createFault(FaultKind.EndpointTimeout, `endpoint ${address} sent no whole answer within ${Math.round(endpointRequest.timeoutMilliseconds)} ms`);
			outgoing.destroy(fault);
			// A request on a connection that was already closed emits no error, so the timeout is raced against it.
			timeout.reject(fault);
		}, endpointRequest.timeoutMilliseconds);
		return await Promise.race([sendAndReceive(outgoing, address, exchange, bufferedBodyBytes), timeout.promise]);
	} catch (error) {
		outgoing.destroy();
		answer.reject(faultOf(failure ?? error, address, hasStarted));
		return false;
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
