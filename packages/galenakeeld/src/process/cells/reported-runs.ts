import {performance} from 'node:perf_hooks';
import {type ActiveRun, type EndedRun, RunEnd} from '@galenakeel/model/connection/endpoint-calls.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import type {EndpointCooldowns} from './endpoint-cooldowns.js';
import {EndpointDecision} from './endpoint-decision.js';
import {HealthEvent} from './endpoint-health.js';
import {
	isRunOf, RunResult, RunState, type Run,
} from './endpoint-run.js';
import type {EndpointRuns} from './endpoint-runs.js';
import type {OrphanedRuns} from './orphaned-runs.js';

/**
What the reports of an endpoint say of the runs there.
*/
export type ReportedRuns = {
	/** Number of the last end that was recorded. */
	readonly acknowledged: () => number;
	/** Records an end. Returns whether it is of a run of an earlier owner. */
	readonly onEnded: (ended: EndedRun) => boolean;
	/**
	Compares the runs of this owner with those that an endpoint lists.

	@param polledAt Monotonic milliseconds at which the poll was sent.
	*/
	readonly reconcile: (active: readonly ActiveRun[], polledAt: number) => void;
	/** Begins anew with another incarnation, which numbers its ends from the start. */
	readonly reset: () => void;
};

export type ReportedRunsOptions = {
	readonly runs: Pick<EndpointRuns, 'all' | 'findReported' | 'settle'>;
	readonly orphans: Pick<OrphanedRuns, 'install' | 'recordEnd'>;
	readonly cooldowns: Pick<EndpointCooldowns, 'record'>;
	readonly stopUntilEnded: (run: Run) => Promise<void>;
	/** Returns the fields of a logged decision about a run. */
	readonly describe: (task: TaskKey, attempt: number) => Readonly<Record<string, unknown>>;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
	/** Called for each run that succeeded. */
	readonly onRunTime: (estimateMilliseconds: number, runMilliseconds: number) => void;
};

/** Age from which the reported processor use shows whether a run makes progress. */
const stallAgeMilliseconds = 700;

/**
Creates the comparison of the runs of an endpoint that hasn't reported yet.

@example
```
const reported = createReportedRuns(options);
reported.onEnded(report.ended[0]);
reported.reconcile(report.active, polledAt);
```
*/
export const createReportedRuns = (options: ReportedRunsOptions): ReportedRuns => {
	const {runs, orphans, cooldowns, describe, onDecision} = options;
	let acknowledged = 0;

	const stopStalled = (run: Run, active: ActiveRun): void => {
		const age = performance.now() - run.startSentAt;
		if (active.processorInUse !== 0 || age < stallAgeMilliseconds || run.state !== RunState.Running) {
			return;
		}

		onDecision(EndpointDecision.RunStalled, {...describe(run.task, run.attempt), ageMilliseconds: Math.round(age)});
		cooldowns.record(HealthEvent.Stalled);
		void options.stopUntilEnded(run);
	};

	return {
		acknowledged: () => acknowledged,
		onEnded(ended) {
			acknowledged = Math.max(acknowledged, ended.sequence);
			const run = runs.findReported(ended);
			if (!run) {
				orphans.recordEnd(ended);
				return true;
			}

			const milliseconds = performance.now() - run.startSentAt;
			if (ended.end === RunEnd.Succeeded) {
				cooldowns.record(HealthEvent.Succeeded);
				options.onRunTime(run.estimateMilliseconds, milliseconds);
				runs.settle(run, RunResult.Succeeded);
			} else if (ended.end === RunEnd.Failed) {
				cooldowns.record(HealthEvent.Failed);
				runs.settle(run, RunResult.Failed);
			} else {
				runs.settle(run, RunResult.Lost);
			}

			return false;
		},
		reconcile(active, polledAt) {
			for (const run of runs.all()) {
				const reported = active.find(one => isRunOf(run, one));
				if (reported) {
					run.isAccepted = true;
					if (run.state === RunState.Starting) {
						run.state = RunState.Running;
						run.visibleAt = performance.now();
					}

					stopStalled(run, reported);
				} else if (run.state !== RunState.Starting && run.visibleAt < polledAt) {
					if (run.state === RunState.Running) {
						onDecision(EndpointDecision.RunLost, describe(run.task, run.attempt));
					}

					runs.settle(run, RunResult.Lost);
				}
			}

			orphans.install(active.filter(one => runs.findReported(one) === undefined));
		},
		reset() {
			acknowledged = 0;
		},
	};
};
