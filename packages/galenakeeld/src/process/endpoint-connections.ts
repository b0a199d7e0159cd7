import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {NextExchange} from '../connection/endpoint-connection.js';
import type {EndpointAnswer, EndpointExchange, EndpointRequest} from '../connection/endpoint-exchange.js';

/**
A pool of connections to endpoints. Each connection carries at most one request at a time.
*/
export type EndpointConnections = {
	/** @throws A fault of kind `EndpointUnreachable` if no byte was sent, `EndpointTimeout` or `EndpointBroken` afterwards, or the error that `beforeFirstByte` threw. */
	readonly send: (address: string, request: EndpointRequest) => Promise<EndpointAnswer>;
	/** Closes idle connections that have exceeded their maximum idle time or age, or that the endpoint has closed. */
	readonly sweep: () => void;
	/** Number of open connections to all endpoints. */
	readonly open: () => number;
	/** Closes the idle connections and stops opening connections in advance. */
	readonly close: () => void;
};

/**
Opens one connection and performs exchanges on it until it can no longer be reused.

@throws If the connection could not be opened.
*/
export type RunEndpointConnection = (address: string, nextExchange: NextExchange) => Promise<void>;

/**
Limits on the number of connections and on the reuse of idle ones.
*/
export type EndpointPoolLimits = {
	readonly maximumIdleMilliseconds: number;
	readonly maximumAgeMilliseconds: number;
	/** Number of connections to each endpoint in use that are opened before a request needs them. */
	readonly connectionsAhead: number;
	/** Current number of entry instances that share the connections of an endpoint. */
	readonly instances: () => number;
};

type IdleConnection = {
	/** Assigns the next exchange; `undefined` closes the connection. */
	readonly assign: (exchange: EndpointExchange | undefined) => void;
	readonly isUsable: () => boolean;
	readonly openedAt: number;
	readonly idleSince: number;
};

type EndpointPool = {
	readonly address: string;
	/** Exchanges that wait for a connection to open. */
	readonly waiting: EndpointExchange[];
	/** Idle connections, longest idle first. */
	idle: IdleConnection[];
	connecting: number;
	open: number;
	/** Monotonic time in milliseconds; connections opened before it are not reused. */
	minimumOpenedAt: number;
	isPreconnecting: boolean;
};

/**
Creates the pool of connections to all endpoints of this process, without open connections.

@param runConnection Opens one connection and performs its exchanges.

@example
```
const connections = createEndpointConnections(async (address, nextExchange) => runEndpointConnection(address, nextExchange, limits), {...settings.endpoints, instances});
const answer = await connections.send('10.1.2.3:8080', request);
```
*/
export const createEndpointConnections = (runConnection: RunEndpointConnection, limits: EndpointPoolLimits): EndpointConnections => {
	const pools = new Map<string, EndpointPool>();
	let isClosed = false;

	const poolOf = (address: string): EndpointPool => {
		let pool = pools.get(address);
		if (!pool) {
			pool = {
				address, waiting: [], idle: [], connecting: 0, open: 0, minimumOpenedAt: 0, isPreconnecting: false,
			};
			pools.set(address, pool);
		}

		return pool;
	};

	const isReusable = (pool: EndpointPool, connection: IdleConnection, now: number): boolean =>
		now - connection.idleSince < limits.maximumIdleMilliseconds
		&& now - connection.openedAt < limits.maximumAgeMilliseconds
		&& connection.openedAt >= pool.minimumOpenedAt
		&& connection.isUsable();

	const acquireIdle = (pool: EndpointPool): IdleConnection | undefined => {
		const now = performance.now();
		for (;;) {
			const connection = pool.idle.shift();
			if (!connection || isReusable(pool, connection, now)) {
				return connection;
			}

			connection.assign(undefined);
		}
	};

	const openConnection = async (pool: EndpointPool): Promise<void> => {
		const openedAt = performance.now();
		let isConnecting = true;
		pool.open++;
		pool.connecting++;
		const endConnecting = (): void => {
			pool.connecting -= isConnecting ? 1 : 0;
			isConnecting = false;
		};

		try {
			await runConnection(pool.address, async isUsable => {
				endConnecting();
				const exchange = pool.waiting.shift();
				if (exchange ?? isClosed) {
					return exchange;
				}

				const next = createDeferred<EndpointExchange | undefined>();
				pool.idle.push({
					assign: next.resolve, isUsable, openedAt, idleSince: performance.now(),
				});
				return next.promise;
			});
		} catch (error) {
			endConnecting();
			// The open connections to an unreachable endpoint may be dead without having been closed.
			pool.minimumOpenedAt = performance.now();
			pool.waiting.shift()?.answer.reject(error);
		} finally {
			pool.open--;
		}
	};

	const maximumConnections = (request: EndpointRequest): number => Math.floor(request.connections / Math.max(1, limits.instances()));

	/** Opens connections for later requests, after the requests of the current turn of the event loop have been sent. */
	const preconnect = (pool: EndpointPool, request: EndpointRequest): void => {
		if (pool.isPreconnecting || pool.idle.length + pool.connecting - pool.waiting.length >= limits.connectionsAhead) {
			return;
		}

		pool.isPreconnecting = true;
		setImmediate(() => {
			pool.isPreconnecting = false;
			const maximum = isClosed ? 0 : maximumConnections(request);
			while (pool.open < maximum && pool.idle.length + pool.connecting - pool.waiting.length < limits.connectionsAhead) {
				void openConnection(pool);
			}
		});
	};

	return {
		async send(address, request) {
			const pool = poolOf(address);
			const answer = createDeferred<EndpointAnswer>();
			const idle = acquireIdle(pool);
			if (idle) {
				idle.assign({request, answer});
			} else {
				pool.waiting.push({request, answer});
				if (pool.connecting < pool.waiting.length) {
					void openConnection(pool);
				}
			}

			preconnect(pool, request);
			try {
				return await answer.promise;
			} catch (error) {
				// The cause of this failure may have broken other connections that are open already.
				pool.minimumOpenedAt = performance.now();
				throw error;
			}
		},
		sweep() {
			const now = performance.now();
			for (const [address, pool] of pools) {
				const stale = pool.idle.filter(connection => !isReusable(pool, connection, now));
				pool.idle = pool.idle.filter(connection => !stale.includes(connection));
				for (const connection of stale) {
					connection.assign(undefined);
				}

				if (pool.open === 0 && !pool.isPreconnecting) {
					pools.delete(address);
				}
			}
		},
		open() {
			let total = 0;
			for (const pool of pools.values()) {
				total += pool.open;
			}

			return total;
		},
		close() {
			isClosed = true;
			for (const pool of pools.values()) {
				for (const connection of pool.idle.splice(0)) {
					connection.assign(undefined);
				}
			}
		},
	};
};
