import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type Agent, createServer, request as httpRequest, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';

/**
Reads a whole body as text.
*/
export const readText = async (message: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

/**
Sends a JSON response.
*/
export const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
};

type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

const serve = async (handle: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	try {
		await handle(request, response);
	} catch (error) {
		if (response.headersSent) {
			response.destroy();
		} else {
			writeJson(response, 500, {error: error instanceof Error ? error.message : String(error)});
		}
	}
};

/**
Starts an HTTP server at an address and returns it once it listens.
*/
export const listen = async (address: string, handle: Handler): Promise<Server> => {
	const [host, port] = splitAddress(address);
	const server = createServer({keepAliveTimeout: 30_000}, (request, response) => {
		void serve(handle, request, response);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
};

/**
A response that was received completely.
*/
export type HttpReply = {
	readonly status: number;
	readonly headers: IncomingMessage['headers'];
	/** Fields received after the body. */
	readonly trailers: IncomingMessage['trailers'];
	readonly text: string;
};

/**
What a call sends besides its method and path.
*/
export type CallOptions = {
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly timeoutMilliseconds?: number;
	/** Reuses connections between calls; without it, each call opens its own. */
	readonly agent?: Agent;
};

const defaultTimeoutMilliseconds = 60_000;

/**
Sends a request and reads the whole response.

@throws An error when the connection breaks or the time-out passes before the response is complete.

@example
```
const {status} = await call('127.0.0.1:8002', 'GET', '/ready');
```
*/
export const call = async (address: string, method: string, path: string, options: CallOptions = {}): Promise<HttpReply> => {
	const [host, port] = splitAddress(address);
	const body = options.body ?? '';
	const request = httpRequest({
		host,
		port,
		method,
		path,
		agent: options.agent ?? false,
		headers: {...options.headers, 'content-length': String(Buffer.byteLength(body))},
		signal: AbortSignal.timeout(options.timeoutMilliseconds ?? defaultTimeoutMilliseconds),
	});
	request.end(body);
	const [response] = await once(request, 'response') as [IncomingMessage];
	const text = await readText(response);
	return {
		status: response.statusCode!, headers: response.headers, trailers: response.trailers, text,
	};
};
