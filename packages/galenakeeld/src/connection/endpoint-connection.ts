import {Agent} from 'node:http';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {performExchange, type EndpointExchange, type ExchangeConnection} from './endpoint-exchange.js';

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

const openSocket = async (address: string, timeoutMilliseconds: number): Promise<Socket> => new Promise((resolve, reject) => {
	const [host, port] = splitAddress(address);
	const socket = connect({host, port, noDelay: true});
	const timer = setTimeout(() => {
		socket.destroy(createFault(FaultKind.EndpointUnreachable, `endpoint ${address} did not accept a connection within ${timeoutMilliseconds} ms`));
	}, timeoutMilliseconds);
	// Stays for the life of the socket, which may break while no request is on it.
	socket.on('error', error => {
		clearTimeout(timer);
		reject('code' in error ? createFault(FaultKind.EndpointUnreachable, `endpoint ${address} could not be reached`, error) : error);
	});
	socket.once('connect', () => {
		clearTimeout(timer);
		resolve(socket);
	});
});

/** A connection for one task needs no agent, and asks the endpoint to close it. */
const openExchangeConnection = (socket: Socket, tasksPerConnection: number): ExchangeConnection => tasksPerConnection === 1
	? {socket, bytesRead: 0, options: {createConnection: () => socket}}
	: {socket, bytesRead: 0, options: {agent: Object.assign(new Agent({keepAlive: true, maxSockets: 1}), {createConnection: () => socket})}};

/**
Tells whether an open connection may carry a request: a connection that received bytes while no request was under way might take them for the answer.
*/
const isUsable = ({socket, bytesRead}: ExchangeConnection): boolean => socket.readable && socket.writable && socket.bytesRead === bytesRead;

/**
Waits for the next request of an open connection; `undefined` ends the connection.

@param isUsable Tells whether the connection may still carry a request.
*/
export type NextExchange = (isUsable: () => boolean) => Promise<EndpointExchange | undefined>;

/**
Opens and serves one connection to an endpoint: one request at a time, each with its whole answer, until the connection breaks, has carried its number of tasks, or no further request comes.

@throws A fault of kind `EndpointUnreachable` when the connection could not be opened.

@example
```
void runEndpointConnection('10.1.2.3:8080', async () => pool.next(), limits);
```
*/
export const runEndpointConnection = async (address: string, nextExchange: NextExchange, limits: EndpointConnectionLimits): Promise<void> => {
	const socket = await openSocket(address, limits.connectTimeoutMilliseconds);
	const connection = openExchangeConnection(socket, limits.tasksPerConnection);
	const isOpen = (): boolean => isUsable(connection);
	try {
		for (let task = 1; task <= limits.tasksPerConnection; task++) {
			const exchange = await nextExchange(isOpen);
			if (!exchange) {
				return;
			}

			if (!isOpen()) {
				exchange.answer.reject(createFault(FaultKind.EndpointUnreachable, `endpoint ${address} closed the connection, or sent bytes that no request had asked for`));
				return;
			}

			if (!await performExchange(connection, address, exchange, limits.bufferedBodyBytes)) {
				return;
			}

			connection.bytesRead = socket.bytesRead;
		}
	} finally {
		socket.destroy();
	}
};
