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
What is sent to an endpoint.
*/
export type EndpointRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array | Readable;
	/** Connections that all entry instances may have open to the endpoint together. */
	readonly connections: number;
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
An open connection, as one exchange after the other uses it.
*/
export type ExchangeConnection = {
	readonly socket: Socket;
	/** Bytes that the connection had received when its last exchange ended. */
	bytesRead: number;
	/** Makes Node's `http` send a request over the socket. */
	readonly options: Pick<RequestOptions, 'agent' | 'createConnection'>;
};

/**
Waits for the beginning of the answer; a failure of the request rejects.
*/
const nextResponse = async (outgoing: ClientRequest): Promise<IncomingMessage> => new Promise((resolve, reject) => {
	outgoing.once('response', resolve);
	outgoing.once('error', reject);
});

/**
Sends a request and hands over its answer; resolves once the connection is free again.
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
Performs one request over an open connection.

@returns Whether the connection may carry another request.
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
			// A request whose connection was closed before it began reports no error of its own.
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
