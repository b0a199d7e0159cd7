import {Agent} from 'node:http';
import {
	performExchange, type EndpointExchange, type ExchangeLimits, type LastUse,
} from './endpoint-exchange.js';

/**
Limits of one connection to an endpoint.
*/
export type EndpointConnectionLimits = Omit<ExchangeLimits, 'last'> & {
	/** Tasks that the connection carries, so that no answer can be taken for that of a later task. */
	readonly tasksPerConnection: number;
};

/**
Serves one connection to an endpoint: one request at a time, each with its whole answer, until the connection breaks, has carried its number of tasks, or no further request comes.

@param nextExchange Waits for the next request; `undefined` ends the connection.

@example
```
void runEndpointConnection('10.1.2.3:8080', async () => pool.next(), limits);
```
*/
export const runEndpointConnection = async (address: string, nextExchange: () => Promise<EndpointExchange | undefined>, limits: EndpointConnectionLimits): Promise<void> => {
	const agent = new Agent({keepAlive: limits.tasksPerConnection > 1, maxSockets: 1});
	let last: LastUse | undefined;
	try {
		for (let task = 1; task <= limits.tasksPerConnection; task++) {
			const exchange = await nextExchange();
			if (!exchange) {
				return;
			}

			last = await performExchange(agent, address, exchange, {...limits, last});
			if (!last) {
				return;
			}
		}
	} finally {
		agent.destroy();
	}
};
