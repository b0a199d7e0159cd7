import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import type {RequestRecord} from '@galenakeel/model/process/request-record.js';
import {createFault, detailOf, FaultKind} from '@galenakeel/model/request/fault.js';
import {isLogLevel, LogLevel} from './log.js';

/**
Functions that answer the requests of operators and of the load balancer.
*/
export type OperatorHandlers = {
	readonly isReady: () => boolean;
	readonly status: () => unknown;
	/** All metrics in the Prometheus text format. */
	readonly metrics: () => string;
	readonly findRecord: (identifier: string) => RequestRecord | undefined;
	readonly setLogLevel: (level: LogLevel) => void;
};

const paths = ['GET /live', 'GET /ready', 'GET /metrics', 'GET /v1/status', 'GET /v1/records/ID', 'PUT /v1/log-level'];
const recordsPath = '/v1/records/';
const maximumBodyBytes = 1000;

const answerJson = (response: ServerResponse, status: number, value: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(`${JSON.stringify(value)}\n`);
};

const answerRecord = (response: ServerResponse, identifier: string, handlers: OperatorHandlers): void => {
	const record = handlers.findRecord(identifier);
	if (record) {
		answerJson(response, 200, record);
	} else {
		answerJson(response, 404, {detail: `this instance keeps no record of "${identifier}"; ask the other instances, or raise records.entries in the settings`});
	}
};

/**
Reads the log level from a request body such as `{"level": "debug"}`.

@throws A fault of kind `MalformedRequest` when the body is too large, has no Content-Length, is not JSON or names no log level.
*/
const readLogLevel = async (request: IncomingMessage): Promise<LogLevel> => {
	if (Number(request.headers['content-length'] ?? Infinity) > maximumBodyBytes) {
		throw createFault(FaultKind.MalformedRequest, `the body needs a Content-Length of at most ${maximumBodyBytes} bytes`);
	}

	const {level} = parseObject(await text(request));
	if (!isLogLevel(level)) {
		throw createFault(FaultKind.MalformedRequest, `the body must be {"level": LEVEL} with one of ${Object.values(LogLevel).join(', ')}`);
	}

	return level;
};

const parseObject = (body: string): {readonly level?: unknown} => {
	try {
		return JSON.parse(body) as {readonly level?: unknown} | undefined ?? {};
	} catch (error) {
		throw createFault(FaultKind.MalformedRequest, 'the body is not JSON', error);
	}
};

const answerLogLevel = async (request: IncomingMessage, response: ServerResponse, handlers: OperatorHandlers): Promise<void> => {
	try {
		const level = await readLogLevel(request);
		handlers.setLogLevel(level);
		answerJson(response, 200, {level});
	} catch (error) {
		answerJson(response, 400, {detail: detailOf(error)});
	}
};

const answerRequest = async (request: IncomingMessage, response: ServerResponse, handlers: OperatorHandlers): Promise<void> => {
	const url = request.url ?? '';
	if (request.method === 'GET' && url.startsWith(recordsPath)) {
		answerRecord(response, decodeURIComponent(url.slice(recordsPath.length)), handlers);
		return;
	}

	switch (`${request.method} ${url}`) {
		case 'GET /live': {
			answerJson(response, 200, {isLive: true});
			break;
		}

		case 'GET /ready': {
			answerJson(response, handlers.isReady() ? 200 : 503, {isReady: handlers.isReady()});
			break;
		}

		case 'GET /metrics': {
			response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
			response.end(handlers.metrics());
			break;
		}

		case 'GET /v1/status': {
			answerJson(response, 200, handlers.status());
			break;
		}

		case 'PUT /v1/log-level': {
			await answerLogLevel(request, response, handlers);
			break;
		}

		default: {
			answerJson(response, 404, {paths});
		}
	}
};

const serve = async (request: IncomingMessage, response: ServerResponse, handlers: OperatorHandlers): Promise<void> => {
	try {
		await answerRequest(request, response, handlers);
	} catch (error) {
		answerJson(response, 400, {detail: detailOf(error)});
	}
};

/**
Starts the HTTP server for operators and for the health checks of the load balancer.

@returns A function that stops the server and closes its connections.
*/
export const startOperatorServer = async (address: string, handlers: OperatorHandlers): Promise<() => void> => {
	const server = createServer((request, response) => {
		void serve(request, response, handlers);
	});
	const [host, port] = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return () => {
		server.close();
		server.closeAllConnections();
	};
};
