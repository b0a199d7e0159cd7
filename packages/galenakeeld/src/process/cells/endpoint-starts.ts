import {performance} from 'node:perf_hooks';
import {CallOutcome, type CallReply, type EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import type {EndpointCooldowns} from './endpoint-cooldowns.js';
import {EndpointDecision} from './endpoint-decision.js';
import {HealthEvent} from './endpoint-health.js';
import {RunResult, RunState, type Run} from './endpoint-run.js';
import type {EndpointRuns} from './endpoint-runs.js';

/**
The starts of runs at an endpoint, and their outcomes.
*/
export type EndpointStarts = {
	/** Sends the start of a run, and takes its outcome. */
	readonly send: (run: Run, specification: string) => Promise<void>;
};

export type EndpointStartsOptions = {
	readonly calls: Pick<EndpointCalls, 'start'>;
	readonly runs: Pick<EndpointRuns, 'isActive' | 'settle'>;
	readonly cooldowns: Pick<EndpointCooldowns, 'record' | 'recordInsufficientCapacity'>;
	readonly token: () => number;
	/** Returns the end of the next lease, on the endpoint's clock; undefined if a run must not go on. */
	readonly nextLease: () => number | undefined;
	/** Takes the clock of an answer. */
	readonly observeClock: (clockMilliseconds: number | undefined) => void;
	readonly pollNow: () => Promise<void>;
	readonly stopUntilEnded: (run: Run) => Promise<void>;
	/** Returns the fields of a logged decision about a run. */
	readonly describe: (task: TaskKey, attempt: number) => Readonly<Record<string, unknown>>;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
	/** Called when the endpoint has rejected a token, since it has accepted a higher one. */
	readonly onFenced: (token: number) => void;
	/** Called when an endpoint with another identifier has answered. */
	readonly onOtherEndpoint: () => void;
};

/** Time without an answer after which a poll looks for the run of a start; an answer takes a few milliseconds. */
const startAnswerTimeoutMilliseconds = 50;

type OnStartReplyOptions = Omit<EndpointStartsOptions, 'calls' | 'nextLease' | 'pollNow' | 'stopUntilEnded' | 'token'> & {
	readonly beginResolving: (run: Run) => void;
};

const onStartReply = (run: Run, {outcome, clockMilliseconds, token}: CallReply & {readonly token: number}, options: OnStartReplyOptions): void => {
	const {runs, cooldowns, describe, onDecision} = options;
	options.observeClock(clockMilliseconds);
	if (!runs.isActive(run)) {
		return;
	}

	switch (outcome) {
		case CallOutcome.Done: {
			run.state = run.state === RunState.Starting ? RunState.Running : run.state;
			run.isAccepted = true;
			run.visibleAt = performance.now();
			return;
		}

		case CallOutcome.Unknown: {
			options.beginResolving(run);
			return;
		}

		case CallOutcome.OtherEndpoint: {
			options.onOtherEndpoint();
			return;
		}

		case CallOutcome.Fenced: {
			options.onFenced(token);
			break;
		}

		case CallOutcome.Rejected: {
			cooldowns.record(HealthEvent.Declined);
			break;
		}

		case CallOutcome.Superseded: {
			onDecision(EndpointDecision.Declined, {...describe(run.task, run.attempt), outcome});
			runs.settle(run, RunResult.Outdated);
			return;
		}

		case CallOutcome.InsufficientCapacity:
		case CallOutcome.Expired: {
			cooldowns.recordInsufficientCapacity();
			break;
		}
	}

	onDecision(EndpointDecision.Declined, {...describe(run.task, run.attempt), outcome});
	runs.settle(run, RunResult.Declined);
};

/**
Creates the starts of an endpoint.

@example
```
const starts = createEndpointStarts(options);
runs.add(run);
void starts.send(run, specification);
```
*/
export const createEndpointStarts = (options: EndpointStartsOptions): EndpointStarts => {
	const {calls, runs, describe, onDecision, nextLease} = options;

	/** A start without an answer continues if a poll reports the run; otherwise the run is stopped. */
	const resolveUnknown = async (run: Run): Promise<void> => {
		await options.pollNow();
		if (run.state === RunState.Starting) {
			await options.stopUntilEnded(run);
		}
	};

	/** Resolves the outcome of a start without an answer, once. */
	const beginResolving = (run: Run): void => {
		if (runs.isActive(run) && run.state === RunState.Starting && !run.isUnconfirmed) {
			run.isUnconfirmed = true;
			onDecision(EndpointDecision.StartUnknown, describe(run.task, run.attempt));
			void resolveUnknown(run);
		}
	};

	const replyOptions = {...options, beginResolving};

	return {
		async send(run, specification) {
			const lease = nextLease();
			if (lease === undefined) {
				runs.settle(run, RunResult.Declined);
				return;
			}

			const timer = setTimeout(() => {
				beginResolving(run);
			}, startAnswerTimeoutMilliseconds);
			const token = options.token();
			const reply = await calls.start({
				task: run.task, attempt: run.attempt, specification, leaseEndMilliseconds: lease, fencingToken: token,
			});
			onStartReply(run, {...reply, token}, replyOptions);
			clearTimeout(timer);
		},
	};
};
