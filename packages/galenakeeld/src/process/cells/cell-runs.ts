import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type JobUpdate} from '@galenakeel/model/connection/fleet-message.js';
import {positionOf, type TaskKey} from '@galenakeel/model/request/task-key.js';
import {incarnationOf} from '@galenakeel/model/version/endpoint-entry.js';
import {CellDecision, type RecordDecision} from './cell-decision.js';
import type {CellEndpoint} from './cell-endpoint.js';
import type {CellEndpoints} from './cell-endpoints.js';
import {keyOf, type CellJobs} from './cell-jobs.js';
import {RunResult} from './endpoint-run.js';
import type {Placement} from './place-tasks.js';
import {
	beginAttempt, isComplete, markSucceeded, markWaiting, referenceOf, skipAttempts, waitingIndexes, type PlacedJob, type PlacedStep,
} from './placed-job.js';

/**
The runs that a cell starts for the tasks of its jobs, or takes over from an earlier owner.
*/
export type CellRuns = {
	/** Starts a task where it was placed, unless the lease there is too long for it by now. */
	readonly start: (placement: Placement) => void;
	/** Takes over the runs of waiting tasks of a job that endpoints report. */
	readonly adopt: (job: PlacedJob) => void;
};

export type CellRunsOptions = {
	readonly jobs: Pick<CellJobs, 'get' | 'end'>;
	readonly endpoints: Pick<CellEndpoints, 'all' | 'get' | 'factorOf'>;
	readonly token: () => number;
	/** Monotonic milliseconds after which no lease that is sent for a run of the job may end. */
	readonly leaseLimitOf: (job: PlacedJob) => number;
	/** Monotonic milliseconds after which no lease may end that covers a run of the job. */
	readonly latestLeaseEndOf: (job: PlacedJob) => number;
	readonly isClosed: () => boolean;
	readonly notify: (holder: string, update: JobUpdate) => void;
	readonly onDecision: RecordDecision;
	readonly onTaskWait: (milliseconds: number) => void;
	/** Called after each end of a run. */
	readonly onChange: () => void;
};

type LoggedStart = {
	/** Undefined if an adopted run had already succeeded. */
	readonly attempt: number | undefined;
	readonly endpoint: CellEndpoint;
	/** Expected run time over estimate. */
	readonly factor?: number;
};

/**
Creates the runs of a cell.

@example
```
const runs = createCellRuns(options);
runs.start({part: '5c0e7a21d94b36f8/0', position: 0, index: 2, endpoint: 'i-1@1785153473065'});
```
*/
export const createCellRuns = (options: CellRunsOptions): CellRuns => {
	const {jobs, endpoints, notify, onDecision} = options;

	const onSuccess = (job: PlacedJob, task: TaskKey): void => {
		markSucceeded(job, task);
		if (isComplete(job)) {
			jobs.end(job, true);
		} else {
			notify(job.holder, {kind: FleetMessageKind.TaskSucceeded, ...referenceOf(job), position: positionOf(task)});
		}
	};

	const onOtherEnd = (job: PlacedJob, task: TaskKey, endpoint: CellEndpoint, result: RunResult): void => {
		onDecision(CellDecision.TaskEnded, {
			job: task.job, task: positionOf(task), endpoint: endpoint.entry().identifier, result,
		});
		if (result === RunResult.Outdated) {
			skipAttempts(job, task);
		}

		const isFailure = result === RunResult.Failed;
		const avoided = result === RunResult.Declined || result === RunResult.Outdated ? undefined : incarnationOf(endpoint.entry());
		if (markWaiting(job, task, avoided, isFailure) >= job.order.mostAttempts) {
			jobs.end(job, false);
		}
	};

	const follow = async (job: PlacedJob, task: TaskKey, endpoint: CellEndpoint, ended: Promise<RunResult>): Promise<void> => {
		const result = await ended;
		if (options.isClosed() || jobs.get(keyOf(job)) !== job) {
			return;
		}

		if (result === RunResult.Succeeded) {
			onSuccess(job, task);
		} else {
			onOtherEnd(job, task, endpoint, result);
		}

		options.onChange();
	};

	/** Notifies the holder before the first task of a submission starts or is adopted. */
	const announceStart = (job: PlacedJob): void => {
		if (!job.hasStarted) {
			notify(job.holder, {kind: FleetMessageKind.Started, ...referenceOf(job)});
			options.onTaskWait(performance.now() - job.receivedAt);
		}
	};

	const logStart = (event: CellDecision, {order}: PlacedJob, task: TaskKey, {attempt, endpoint, ...fields}: LoggedStart): void => {
		onDecision(event, {
			job: task.job, task: positionOf(task), attempt, generation: order.generation, token: options.token(), endpoint: endpoint.entry().identifier, ...fields,
		});
	};

	const adoptTask = (job: PlacedJob, {position, step}: PlacedStep, index: number): void => {
		const task = {job: job.order.job.identifier, step: position, index};
		for (const endpoint of endpoints.all()) {
			const adopted = endpoint.adopt({
				task, room: step.room, estimateMilliseconds: step.estimateMilliseconds, leaseLimitAt: () => options.leaseLimitOf(job),
			});
			if (adopted) {
				announceStart(job);
				beginAttempt(job, task);
				logStart(CellDecision.TaskAdopted, job, task, {attempt: adopted.attempt, endpoint});
				void follow(job, task, endpoint, adopted.ended);
				return;
			}
		}
	};

	return {
		start({part, position, index, endpoint: incarnation}) {
			const job = jobs.get(part);
			const endpoint = endpoints.get(incarnation);
			// A task that was placed before may have got a longer lease there.
			if (!job || !endpoint || endpoint.leaseEndsAt() > options.latestLeaseEndOf(job)) {
				return;
			}

			const {step} = job.steps[position]!;
			const {identifier, specification} = job.order.job;
			announceStart(job);
			const task = {job: identifier, step: position, index};
			const attempt = beginAttempt(job, task);
			logStart(attempt === 1 ? CellDecision.TaskStarted : CellDecision.TaskRestarted, job, task, {attempt, endpoint, factor: Number(endpoints.factorOf(endpoint).toFixed(2))});
			void follow(job, task, endpoint, endpoint.start({
				task, attempt, room: step.room, estimateMilliseconds: step.estimateMilliseconds, specification, leaseLimitAt: () => options.leaseLimitOf(job),
			}));
		},
		adopt(job) {
			for (const placed of job.steps) {
				for (const index of waitingIndexes(placed)) {
					adoptTask(job, placed, index);
				}
			}
		},
	};
};
