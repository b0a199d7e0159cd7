import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';

const pollIntervalMilliseconds = 20;

/**
Waits until an instance that is leaving has finished what it had.

Connections are taken for as long as the balancer may still open them. Those that are open stay so until their callers close them, which the last answer on each asks for, or until they have been idle for as long as their callers were told: closing one earlier could meet a request that is on its way.

@returns The number of requests and jobs that the limit cut.
*/
export const drain = async (options: {
	readonly announceMilliseconds: number;
	readonly limitMilliseconds: number;
	/** Requests and jobs without an answer. */
	readonly running: () => number;
	/** Open connections of callers. */
	readonly connections: () => number;
	readonly stopListening: () => void;
	/** Closes the connections that callers no longer count on. */
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

	const interrupted = options.running();
	if (interrupted > 0) {
		options.log.error({event: LogEvent.DrainLimit, cut: interrupted}, 'the drain limit of the settings passed before every request had its answer; raise drain.limitMilliseconds');
	}

	return interrupted;
};
