import {createServer} from 'node:http';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';

/**
What operators and the balancer can ask for, by path.
*/
export type OperatorRun = {
	readonly isReady: () => boolean;
	readonly status: () => unknown;
};

/**
Starts the server for operators and for the balancer's health checks.

@returns A function that stops it.
*/
export const startOperatorServer = async (address: string, run: OperatorRun): Promise<() => void> => {
	const server = createServer((request, response) => {
		const answer = (status: number, value: unknown): void => {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(`${JSON.stringify(value)}\n`);
		};

		switch (request.url ?? '') {
			case '/live': {
				answer(200, {isLive: true});
				break;
			}

			case '/ready': {
				answer(run.isReady() ? 200 : 503, {isReady: run.isReady()});
				break;
			}

			case '/v1/status': {
				answer(200, run.status());
				break;
			}

			default: {
				answer(404, {paths: ['/live', '/ready', '/v1/status']});
			}
		}
	});
	const [host, port] = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return () => {
		server.close();
		server.closeAllConnections();
	};
};
