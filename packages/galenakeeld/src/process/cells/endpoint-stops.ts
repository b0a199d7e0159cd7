import {performance} from 'node:perf_hooks';
import {type ActiveRun, CallOutcome, type EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {awaitRetry} from './await-retry.js';
import {EndpointDecision} from './endpoint-decision.js';
import {RunResult, RunState, type Run} from './endpoint-run.js';
import type {EndpointRuns} from './endpoint-runs.js';

/**
The stops of runs at an endpoint.
*/
export type EndpointStops = {
	/** Repeats a stop until the endpoint's present incarnation has carried it out or the lease has expired. */
	readonly stopUntilEnded: (run: Run) => Promise<void>;
	/** Stops a run of an earlier owner once. */
	readonly stopOrphan: (orphan: ActiveRun) => Promise<void>;
};

export type EndpointStopsOptions = {
	readonly calls: Pick<EndpointCalls, 'stop'>;
	readonly runs: Pick<EndpointRuns, 'isActive' | 'settle'>;
	readonly token: () => number;
	/** Start of the incarnation that reported last, in Unix milliseconds. */
	readonly startedAt: () => number;
	/** Monotonic milliseconds since when the token has been valid. */
	readonly ownedSince: () => number;
	/** Whether every lease that was sent has expired. */
	readonly haveLeasesExpired: () => boolean;
	readonly isClosed: () => boolean;
	/** Takes the clock of an answer. */
	readonly observeClock: (clockMilliseconds: number | undefined) => void;
	readonly pollNow: () => Promise<void>;
	/** Returns the fields of a logged decision about a run. */
	readonly describe: (task: TaskKey, attempt: number) => Readonly<Record<string, unknown>>;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
	/** Called when the endpoint has rejected a token, since it has accepted a higher one. */
	readonly onFenced: (token: number) => void;
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
	const {calls, runs, observeClock, describe, onDecision} = options;

	return {
		async stopUntilEnded(run) {
			while (runs.isActive(run) && run.state !== RunState.Stopping && !options.isClosed()) {
				const startedAt = options.startedAt();
				const token = options.token();
				const {outcome, clockMilliseconds} = await calls.stop({task: run.task, attempt: run.attempt, fencingToken: token});
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
					options.onFenced(token);
				}

				if (options.haveLeasesExpired()) {
					runs.settle(run, RunResult.Lost);
					return;
				}

				await awaitRetry();
			}
		},
		async stopOrphan({task, attempt}) {
			onDecision(EndpointDecision.OrphanStopped, {...describe(task, attempt), token: options.token(), sinceClaimMilliseconds: Math.round(performance.now() - options.ownedSince())});
			await calls.stop({task, attempt, fencingToken: options.token()});
		},
	};
};
