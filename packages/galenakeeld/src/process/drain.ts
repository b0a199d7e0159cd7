import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';

const lookMilliseconds = 20;

/**
Waits until an instance that is leaving has finished what it had.

Requests are taken for as long as the balancer may still send them. The wait ends when nothing has been running for the quiet time after the announcement, or at the limit.

@returns The number of requests and jobs that the limit cut.
*/
export const drain = async (options: {
	readonly announceMilliseconds: number;
	readonly limitMilliseconds: number;
	/** Requests and jobs without an answer. */
	readonly running: () => number;
	readonly log: Log;
}): Promise<number> => {
	const startedAt = performance.now();
	await sleep(options.announceMilliseconds);
	while (options.running() > 0 && performance.now() - startedAt < options.limitMilliseconds) {
		await sleep(lookMilliseconds);
	}

	const cut = options.running();
	if (cut > 0) {
		options.log.error({event: LogEvent.DrainLimit, cut}, 'the drain limit of the settings passed before every request had its answer; raise drain.limitMilliseconds');
	}

	return cut;
};
