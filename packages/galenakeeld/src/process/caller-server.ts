import {createServer, type IncomingMessage, type Server} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createInbox, type Inbox} from '@galenakeel/model/connection/inbox.js';
import type {CallerExchange} from '../connection/caller-connection.js';

const keepAliveMarginMilliseconds = 999;
// Checks for slow callers per time limit, so that a time-out fires at most a tenth of the limit late.
const timeoutChecksPerLimit = 10;

/** Response statuses by the code of the parser's error; any other code is answered as a malformed request. */
const refusalStatuses: ReadonlyMap<string, number> = new Map([['HPE_HEADER_OVERFLOW', 431], ['ERR_HTTP_REQUEST_TIMEOUT', 408]]);
const malformedStatus = 400;

/**
An open connection of a caller.
*/
type OpenConnection = {
	readonly inbox: Inbox<CallerExchange>;
	/** Time on the monotonic clock, in milliseconds, since which no request is in progress; `undefined` while one is. */
	idleSince: number | undefined;
	/** Number of requests whose response has not ended. */
	unanswered: number;
	/** The request whose body is being received, or was received last. */
	lastRequest: IncomingMessage | undefined;
	/** Whether bytes that are not valid HTTP were received; nothing more is read. */
	isMalformed: boolean;
};

/**
The HTTP server for callers.
*/
export type CallerServer = {
	/** Returns the number of connections on which a request is being served. */
	readonly busy: () => number;
	/** Returns the number of open connections. */
	readonly connections: () => number;
	/** Stops accepting connections; those that are open continue. */
	readonly stopListening: () => void;
	/** Closes connections that have been idle for longer than the keep-alive time announced to their callers. */
	readonly closeIdle: () => void;
};

type CallerLimits = {readonly headerBytes: number; readonly callerConnections: number; readonly slowCallerMilliseconds: number; readonly idleCallerMilliseconds: number};

/**
Handlers for connections and for requests that are not valid HTTP.
*/
export type CallerServerHandlers = {
	/** Serves one connection until it closes. */
	readonly serve: (exchanges: AsyncIterable<CallerExchange>) => Promise<void>;
	/** Encodes the whole response to a request that could not be parsed. */
	readonly encodeRefusal: (status: number, detail: string) => string;
};

/**
Starts the HTTP server for callers; each connection is served by its own task.
*/
export const startCallerServer = async (address: string, handlers: CallerServerHandlers, limits: CallerLimits): Promise<CallerServer> => {
	const connections = new Map<Socket, OpenConnection>();
	// The Keep-Alive header announces whole seconds; the remainder is a margin for requests that are still in transit.
	const keepAliveTimeout = (Math.floor(limits.idleCallerMilliseconds / 1000) * 1000) + keepAliveMarginMilliseconds;

	const open = (socket: Socket): OpenConnection => {
		const connection: OpenConnection = {
			inbox: createInbox<CallerExchange>(), idleSince: performance.now(), unanswered: 0, lastRequest: undefined, isMalformed: false,
		};
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
			connection.inbox.close();
		});
		void handlers.serve(connection.inbox);
		return connection;
	};

	const endExchange = (socket: Socket, connection: OpenConnection): void => {
		connection.unanswered--;
		if (connection.unanswered > 0) {
			return;
		}

		connection.idleSince = performance.now();
		if (connection.isMalformed) {
			socket.destroySoon();
		}
	};

	const server: Server = createServer({
		maxHeaderSize: limits.headerBytes,
		headersTimeout: limits.slowCallerMilliseconds,
		requestTimeout: limits.slowCallerMilliseconds,
		connectionsCheckingInterval: Math.ceil(limits.slowCallerMilliseconds / timeoutChecksPerLimit),
		keepAlive: true,
		noDelay: true,
		keepAliveTimeout,
	});
	server.maxConnections = limits.callerConnections;
	server.on('connection', socket => {
		open(socket);
	});
	server.on('request', (request, response) => {
		const {socket} = request;
		const connection = connections.get(socket) ?? open(socket);
		connection.unanswered++;
		connection.idleSince = undefined;
		connection.lastRequest = request;
		response.once('close', () => {
			endExchange(socket, connection);
		});
		connection.inbox.push({request, response});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		const connection = connections.get(socket);
		if (!socket.writable || connection?.lastRequest?.complete === false) {
			// Part of the body may have reached an endpoint, so a refusal, which says that nothing ran, could be wrong.
			socket.destroy();
		} else if (connection && connection.unanswered > 0) {
			// The next response on this connection must be that of the request in progress.
			connection.isMalformed = true;
		} else {
			socket.end(handlers.encodeRefusal(refusalStatuses.get(error.code ?? '') ?? malformedStatus, `the request is not valid HTTP/1.1: ${error.message}`));
			socket.destroySoon();
		}
	});
	const [host, port] = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		busy: () => [...connections.values()].filter(({unanswered}) => unanswered > 0).length,
		connections: () => connections.size,
		stopListening() {
			// The `close` method of the HTTP server also closes idle connections, on which a request may be in transit.
			NetServer.prototype.close.call(server);
		},
		closeIdle() {
			const now = performance.now();
			for (const [socket, {idleSince}] of connections) {
				if (idleSince !== undefined && now - idleSince > keepAliveTimeout) {
					socket.end();
				}
			}
		},
	};
};
