import {createServer, type Server} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createInbox, type Inbox} from '@galenakeel/model/connection/inbox.js';
import type {CallerExchange} from '../connection/caller-connection.js';

const keepAliveMarginMilliseconds = 999;
const headerTooLargeCode = 'HPE_HEADER_OVERFLOW';

/**
The server for callers.
*/
export type CallerServer = {
	/** Connections on which a request is being served. */
	readonly busy: () => number;
	/** Open connections. */
	readonly connections: () => number;
	/** Takes no further connections; those that are open go on. */
	readonly stopListening: () => void;
	/** Closes connections that have been idle for longer than their callers were told to keep them. */
	readonly closeIdle: () => void;
};

type CallerLimits = {readonly headerBytes: number; readonly callerConnections: number; readonly slowCallerMilliseconds: number; readonly idleCallerMilliseconds: number};

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
export const startCallerServer = async (address: string, run: CallerServerRun, limits: CallerLimits): Promise<CallerServer> => {
	const inboxes = new Map<Socket, Inbox<CallerExchange>>();
	const idleSince = new Map<Socket, number>();
	// The Keep-Alive header tells callers whole seconds; the rest is the margin in which a request may still be on its way.
	const keepAliveTimeout = (Math.floor(limits.idleCallerMilliseconds / 1000) * 1000) + keepAliveMarginMilliseconds;
	let busy = 0;

	const inboxOf = (socket: Socket): Inbox<CallerExchange> => {
		const existing = inboxes.get(socket);
		if (existing) {
			return existing;
		}

		const inbox = createInbox<CallerExchange>();
		inboxes.set(socket, inbox);
		idleSince.set(socket, performance.now());
		socket.once('close', () => {
			inboxes.delete(socket);
			idleSince.delete(socket);
			inbox.close();
		});
		void run.serve(inbox);
		return inbox;
	};

	const server: Server = createServer({
		maxHeaderSize: limits.headerBytes, headersTimeout: limits.slowCallerMilliseconds, requestTimeout: limits.slowCallerMilliseconds, keepAlive: true, noDelay: true, keepAliveTimeout,
	});
	server.maxConnections = limits.callerConnections;
	server.on('connection', socket => {
		inboxOf(socket);
	});
	server.on('request', (request, response) => {
		busy++;
		idleSince.delete(request.socket);
		response.once('close', () => {
			busy--;
			if (inboxes.has(request.socket)) {
				idleSince.set(request.socket, performance.now());
			}
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
		connections: () => inboxes.size,
		stopListening() {
			// The HTTP server's own method also closes idle connections, on which a request may be on its way.
			NetServer.prototype.close.call(server);
		},
		closeIdle() {
			const now = performance.now();
			for (const [socket, since] of idleSince) {
				if (now - since > keepAliveTimeout) {
					socket.end();
				}
			}
		},
	};
};
