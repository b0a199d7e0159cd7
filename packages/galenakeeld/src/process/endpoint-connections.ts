import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {NextExchange} from '../connection/endpoint-connection.js';
import type {EndpointAnswer, EndpointExchange, EndpointRequest} from '../connection/endpoint-exchange.js';

/**
Sends requests to endpoints, each over a connection that no other request is on.
*/
export type EndpointConnections = {
	/** @throws A fault of kind `EndpointUnreachable` when no byte went out, `EndpointTimeout` or `EndpointBroken` afterwards, or what `beforeFirstByte` threw. */
	readonly send: (address: string, request: EndpointRequest) => Promise<EndpointAnswer>;
	/** Closes connections that have been idle or open for too long, or that their endpoint has closed. */
	readonly sweep: () => void;
	readonly open: () => number;
	/** Closes the connections that carry no request, and opens no more ahead of requests. */
	readonly close: () => void;
};

/**
Opens and serves one connection until it can carry no further exchange; throws when it could not be opened.
*/
export type RunEndpointConnection = (address: string, nextExchange: NextExchange) => Promise<void>;

/**
How many connections are open, and how long one is trusted while no request is on it.
*/
export type EndpointPoolLimits = {
	readonly maximumIdleMilliseconds: number;
	readonly maximumAgeMilliseconds: number;
	/** Connections to each endpoint in use that are open before a request needs them. */
	readonly connectionsAhead: number;
	/** Entry instances that share the connections of an endpoint at present. */
	readonly instances: () => number;
};

type IdleConnection = {
	readonly assign: (exchange: EndpointExchange | undefined) => void;
	readonly isUsable: () => boolean;
	readonly openedAt: number;
	readonly idleSince: number;
};

type EndpointPool = {
	readonly address: string;
	/** Requests for which a connection is being opened. */
	readonly waiting: EndpointExchange[];
	/** Connections without a request, the one that has been idle longest first. */
	idle: IdleConnection[];
	connecting: number;
	open: number;
	/** Connections opened before this time on the monotonic clock carry no further request. */
	minimumOpenedAt: number;
	isPreconnecting: boolean;
};

/**
Creates the connections to all endpoints of this process, none of them open yet.

@param runConnection Opens and serves one connection.

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
			// An endpoint that can't be reached may have left the connections silent that are open already.
			pool.minimumOpenedAt = performance.now();
			pool.waiting.shift()?.answer.reject(error);
		} finally {
			pool.open--;
		}
	};

	const maximumConnections = (request: EndpointRequest): number => Math.floor(request.connections / Math.max(1, limits.instances()));

	/** Opens connections for the next requests once those of this turn of the event loop are on their way. */
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
				// Whatever silenced this connection may have silenced the others that are as old.
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
