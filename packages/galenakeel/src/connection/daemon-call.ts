import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {request as httpRequest, type IncomingMessage} from 'node:http';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';

/**
An HTTP request to an entry instance.
*/
export type DaemonCall = {
	readonly method: string;
	readonly path: string;
	readonly body?: string;
	readonly headers?: Readonly<Record<string, string>>;
};

/**
A complete HTTP response of an entry instance.
*/
export type DaemonReply = {
	readonly status: number;
	readonly headers: IncomingMessage['headers'];
	readonly text: string;
};

const readBody = async (message: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of message as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

/**
Sends a request to an entry instance on a new connection and reads the complete response.

@throws A fault of kind `InstanceUnreachable` when no complete response arrives within `timeoutMilliseconds`.

@example
```
const {text} = await callDaemon('10.1.2.3:8002', {method: 'GET', path: '/v1/status'}, 2000);
```
*/
export const callDaemon = async (address: string, {method, path, body = '', headers = {}}: DaemonCall, timeoutMilliseconds: number): Promise<DaemonReply> => {
	const [host, port] = splitAddress(address);
	try {
		const request = httpRequest({
			host,
			port,
			method,
			path,
			agent: false,
			headers: {...headers, 'content-length': String(Buffer.byteLength(body))},
			signal: AbortSignal.timeout(timeoutMilliseconds),
		});
		request.end(body);
		const [response] = await once(request, 'response') as [IncomingMessage];
		return {status: response.statusCode!, headers: response.headers, text: await readBody(response)};
	} catch (error) {
		throw createFault(FaultKind.InstanceUnreachable, `the instance at ${address} did not answer ${method} ${path} within ${timeoutMilliseconds} ms`, error);
	}
};
