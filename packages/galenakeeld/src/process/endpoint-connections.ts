import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {EndpointAnswer, EndpointExchange, EndpointRequest} from '../connection/endpoint-exchange.js';

/**
Sends requests to endpoints over connections that are kept for the next request.
*/
export type EndpointConnections = {
	/** @throws A fault of kind `EndpointUnreachable` when no byte went out, `EndpointTimeout` or `EndpointBroken` afterwards, or what `beforeFirstByte` threw. */
	readonly send: (address: string, request: EndpointRequest) => Promise<EndpointAnswer>;
	/** Closes connections that have been idle or open for too long. */
	readonly sweep: () => void;
	readonly open: () => number;
};

type IdleConnection = {readonly take: (exchange: EndpointExchange | undefined) => void; readonly openedAt: number; readonly idleSince: number};

type EndpointPool = {idle: IdleConnection[]; open: number; suspectBefore: number};

/**
Serves one connection until it can carry no further exchange.
*/
export type RunEndpointConnection = (address: string, nextExchange: () => Promise<EndpointExchange | undefined>) => Promise<void>;

/**
How long a connection is trusted while no task is on it.
*/
export type EndpointPoolLimits = {readonly maximumIdleMilliseconds: number; readonly maximumAgeMilliseconds: number};

/**
Creates the connections to all endpoints of this process, none of them open yet.

@param runConnection Opens and serves one connection.

@example
```
const connections = createEndpointConnections(async (address, nextExchange) => runEndpointConnection(address, nextExchange, limits), settings.endpoints);
const answer = await connections.send('10.1.2.3:8080', request);
```
*/
export const createEndpointConnections = (runConnection: RunEndpointConnection, limits: EndpointPoolLimits): EndpointConnections => {
	const pools = new Map<string, EndpointPool>();

	const poolOf = (address: string): EndpointPool => {
		let pool = pools.get(address);
		if (!pool) {
			pool = {idle: [], open: 0, suspectBefore: 0};
			pools.set(address, pool);
		}

		return pool;
	};

	const isTrusted = (pool: EndpointPool, connection: IdleConnection, now: number): boolean =>
		now - connection.idleSince < limits.maximumIdleMilliseconds
		&& now - connection.openedAt < limits.maximumAgeMilliseconds
		&& connection.openedAt >= pool.suspectBefore;

	const takeIdle = (pool: EndpointPool): IdleConnection | undefined => {
		const now = performance.now();
		for (;;) {
			const connection = pool.idle.pop();
			if (!connection || isTrusted(pool, connection, now)) {
				return connection;
			}

			connection.take(undefined);
		}
	};

	const openConnection = async (address: string, pool: EndpointPool, first: EndpointExchange): Promise<void> => {
		const openedAt = performance.now();
		let upcoming: EndpointExchange | undefined = first;
		pool.open++;
		try {
			await runConnection(address, async () => {
				if (upcoming) {
					const exchange = upcoming;
					upcoming = undefined;
					return exchange;
				}

				const next = createDeferred<EndpointExchange | undefined>();
				pool.idle.push({take: next.resolve, openedAt, idleSince: performance.now()});
				return next.promise;
			});
		} finally {
			pool.open--;
		}
	};

	return {
		async send(address, request) {
			const pool = poolOf(address);
			const answer = createDeferred<EndpointAnswer>();
			const idle = takeIdle(pool);
			if (idle) {
				idle.take({request, answer});
			} else {
				void openConnection(address, pool, {request, answer});
			}

			try {
				return await answer.promise;
			} catch (error) {
				// Whatever silenced this connection may have silenced the others that are as old.
				pool.suspectBefore = performance.now();
				throw error;
			}
		},
		sweep() {
			const now = performance.now();
			for (const [address, pool] of pools) {
				const stale = pool.idle.filter(connection => !isTrusted(pool, connection, now));
				pool.idle = pool.idle.filter(connection => isTrusted(pool, connection, now));
				for (const connection of stale) {
					connection.take(undefined);
				}

				if (pool.open === 0) {
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
	};
};
