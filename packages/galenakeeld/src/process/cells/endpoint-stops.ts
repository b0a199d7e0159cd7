import {performance} from 'node:perf_hooks';
import {CallOutcome, type EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import {awaitRetry} from './await-retry.js';
import {RunResult, RunState, type Run} from './endpoint-run.js';
import type {EndpointRuns} from './endpoint-runs.js';

/**
The stops of runs at an endpoint.
*/
export type EndpointStops = {
	/** Repeats a stop until the endpoint's present incarnation has carried it out or the lease has expired. */
	readonly stopUntilEnded: (run: Run) => Promise<void>;
};

export type EndpointStopsOptions = {
	readonly calls: Pick<EndpointCalls, 'stop'>;
	readonly runs: Pick<EndpointRuns, 'isActive' | 'settle'>;
	readonly token: () => number;
	/** Start of the incarnation that reported last, in Unix milliseconds. */
	readonly startedAt: () => number;
	/** Whether every lease that was sent has expired. */
	readonly haveLeasesExpired: () => boolean;
	readonly isClosed: () => boolean;
	/** Takes the clock of an answer. */
	readonly observeClock: (clockMilliseconds: number | undefined) => void;
	readonly pollNow: () => Promise<void>;
	readonly onFenced: () => void;
	/** Called when an endpoint with another identifier has answered. */
	readonly onOtherEndpoint: () => void;
};

/**
Creates the stops of an endpoint.

@example
```
const stops = createEndpointStops(options);
await stops.stopUntilEnded(run);
```
*/
export const createEndpointStops = (options: EndpointStopsOptions): EndpointStops => {
	const {calls, runs, observeClock} = options;

	return {
		async stopUntilEnded(run) {
			while (runs.isActive(run) && run.state !== RunState.Stopping && !options.isClosed()) {
				const startedAt = options.startedAt();
				const {outcome, clockMilliseconds} = await calls.stop({task: run.task, attempt: run.attempt, fencingToken: options.token()});
				observeClock(clockMilliseconds);
				if (outcome === CallOutcome.Done && startedAt === options.startedAt()) {
					run.state = RunState.Stopping;
					run.visibleAt = performance.now();
					await options.pollNow();
					return;
				}

				if (outcome === CallOutcome.OtherEndpoint) {
					options.onOtherEndpoint();
					return;
				}

				if (outcome === CallOutcome.Fenced) {
					options.onFenced();
				}

				if (options.haveLeasesExpired()) {
					runs.settle(run, RunResult.Lost);
					return;
				}

				await awaitRetry();
			}
		},
	};
};
