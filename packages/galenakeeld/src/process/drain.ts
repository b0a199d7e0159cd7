import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';

const pollIntervalMilliseconds = 20;

/**
Waits until a leaving instance has answered its requests and jobs and its callers have closed their connections.

New connections are accepted while the load balancer may still open them (`announceMilliseconds`). An open connection is kept until its caller closes it, as the last answer on it asks, or until it has been idle for the announced keep-alive time: closing it earlier could lose a request in transit.

@returns The number of requests and jobs that were interrupted by the time limit.
*/
export const drain = async (options: {
	readonly announceMilliseconds: number;
	readonly limitMilliseconds: number;
	/** Returns the number of requests and jobs without an answer. */
	readonly running: () => number;
	/** Returns the number of open connections of callers. */
	readonly connections: () => number;
	readonly stopListening: () => void;
	/** Closes the connections whose announced keep-alive time has passed. */
	readonly closeIdle: () => void;
	readonly log: Log;
}): Promise<number> => {
	const limitAt = performance.now() + options.limitMilliseconds;
	await sleep(options.announceMilliseconds);
	options.stopListening();
	while (options.running() + options.connections() > 0 && performance.now() < limitAt) {
		options.closeIdle();
		await sleep(pollIntervalMilliseconds);
	}

	const cut = options.running();
	if (cut > 0) {
		options.log.error({event: LogEvent.DrainLimit, cut}, 'the drain limit passed before every request was answered; raise drain.limitMilliseconds in the settings');
	}

	return cut;
};
