import {Agent} from 'node:http';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {performExchange, type EndpointExchange, type ExchangeConnection} from './endpoint-exchange.js';

/**
Limits of a connection to an endpoint.
*/
export type EndpointConnectionLimits = {
	readonly connectTimeoutMilliseconds: number;
	/** Maximum number of tasks sent over one connection; with 1, no response can be mistaken for that of a later task. */
	readonly tasksPerConnection: number;
	/** Maximum number of response bytes buffered before the response is streamed. */
	readonly bufferedBodyBytes: number;
};

const openSocket = async (address: string, timeoutMilliseconds: number): Promise<Socket> => new Promise((resolve, reject) => {
	const [host, port] = splitAddress(address);
	const socket = connect({host, port, noDelay: true});
	const timer = setTimeout(() => {
		socket.destroy(createFault(FaultKind.EndpointUnreachable, `endpoint ${address} did not accept a connection within ${timeoutMilliseconds} ms`));
	}, timeoutMilliseconds);
	// This listener stays for the lifetime of the socket, since an idle connection can fail too.
	socket.on('error', error => {
		clearTimeout(timer);
		reject('code' in error ? createFault(FaultKind.EndpointUnreachable, `endpoint ${address} could not be reached`, error) : error);
	});
	socket.once('connect', () => {
		clearTimeout(timer);
		resolve(socket);
	});
});

/** A connection for a single task uses no keep-alive agent, so Node sends `Connection: close`. */
const openExchangeConnection = (socket: Socket, tasksPerConnection: number): ExchangeConnection => tasksPerConnection === 1
	? {socket, bytesRead: 0, options: {createConnection: () => socket}}
	: {socket, bytesRead: 0, options: {agent: Object.assign(new Agent({keepAlive: true, maxSockets: 1}), {createConnection: () => socket})}};

/**
Returns whether an open connection can carry another request. Bytes that were received while no request was in flight would be parsed as the next response, so such a connection is not used.
*/
const isUsable = ({socket, bytesRead}: ExchangeConnection): boolean => socket.readable && socket.writable && socket.bytesRead === bytesRead;

/**
Waits for the next request to send over an open connection; `undefined` closes the connection.

@param isUsable Returns whether the connection can still carry a request.
*/
export type NextExchange = (isUsable: () => boolean) => Promise<EndpointExchange | undefined>;

/**
Opens a connection to an endpoint and sends requests over it one at a time, until the connection breaks, `tasksPerConnection` requests have been sent, or `nextExchange` returns `undefined`.

@throws A fault of kind `EndpointUnreachable` when the connection can't be opened. Failures of a request reject its answer instead.

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
