import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createInbox, type Inbox} from '@galenakeel/model/connection/inbox.js';
import type {CallerExchange} from '../connection/caller-connection.js';

const headerTooLargeCode = 'HPE_HEADER_OVERFLOW';

/**
The server for callers.
*/
export type CallerServer = {
	/** Connections on which a request is being served. */
	readonly busy: () => number;
	/** Open connections. */
	readonly open: () => number;
	readonly close: () => void;
};

/**
What the server does with connections and with what is not HTTP.
*/
export type CallerServerRun = {
	/** Serves one connection until it closes. */
	readonly serve: (exchanges: AsyncIterable<CallerExchange>) => Promise<void>;
	/** Encodes the whole response to a request that could not be parsed. */
	readonly encodeRefusal: (status: number, detail: string) => string;
};

/**
Starts the server for callers: each connection is served by a task of its own.
*/
export const startCallerServer = async (address: string, run: CallerServerRun, limits: {headerBytes: number; callerConnections: number; slowCallerMilliseconds: number}): Promise<CallerServer> => {
	const inboxes = new Map<Socket, Inbox<CallerExchange>>();
	let busy = 0;

	const inboxOf = (socket: Socket): Inbox<CallerExchange> => {
		const existing = inboxes.get(socket);
		if (existing) {
			return existing;
		}

		const inbox = createInbox<CallerExchange>();
		inboxes.set(socket, inbox);
		socket.once('close', () => {
			inboxes.delete(socket);
			inbox.close();
		});
		void run.serve(inbox);
		return inbox;
	};

	const server: Server = createServer({
		maxHeaderSize: limits.headerBytes, headersTimeout: limits.slowCallerMilliseconds, requestTimeout: limits.slowCallerMilliseconds, keepAlive: true, noDelay: true,
	});
	server.maxConnections = limits.callerConnections;
	server.on('connection', socket => {
		inboxOf(socket);
	});
	server.on('request', (request, response) => {
		busy++;
		response.once('close', () => {
			busy--;
		});
		inboxOf(request.socket).push({request, response});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (!socket.writable) {
			socket.destroy();
			return;
		}

		const status = error.code === headerTooLargeCode ? 431 : 400;
		socket.end(run.encodeRefusal(status, `the request is not valid HTTP/1.1: ${error.message}`));
	});
	const [host, port] = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		busy: () => busy,
		open: () => inboxes.size,
		close() {
			server.close();
			server.closeIdleConnections();
		},
	};
};
