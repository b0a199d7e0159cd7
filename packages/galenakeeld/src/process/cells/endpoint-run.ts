import {performance} from 'node:perf_hooks';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import type {Resources} from '@galenakeel/model/request/job.js';
import {isSameTask, type TaskKey} from '@galenakeel/model/request/task-key.js';

/**
Result of a run.
*/
export enum RunResult {
	Succeeded = 'succeeded',
	Failed = 'failed',
	/** The run is no longer active; the task may be started again. */
	Lost = 'lost',
	/** The endpoint had no capacity or declined the start; nothing has run. */
	Declined = 'declined',
	/** The endpoint has ended or stopped a run of the task with this attempt or a higher one; nothing has run. */
	Outnumbered = 'outnumbered',
}

/**
State of a run as known to its owner.
*/
export enum RunState {
	/** The start was sent; its outcome isn't known. */
	Starting = 'ordered',
	Running = 'running',
	/** A stop was carried out; the end isn't reported yet. */
	Stopping = 'stopping',
}

/**
A run that its owner has started or adopted.
*/
export type Run = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly room: Resources;
	readonly estimateMilliseconds: number;
	readonly startSentAt: number;
	state: RunState;
	/** Its start was not answered in time. */
	isUnconfirmed: boolean;
	/** Monotonic milliseconds from which a poll must report the run or its end. */
	visibleAt: number;
	/** Monotonic milliseconds after which its lease must not end. It moves on while the holder of the job is heard. */
	leaseLimitAt: () => number;
	readonly ended: Deferred<RunResult>;
};

/**
A task to start.
*/
export type RunRequest = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly room: Resources;
	readonly estimateMilliseconds: number;
	readonly specification: string;
	readonly leaseLimitAt: () => number;
};

/** Minimum remaining time of an active run as a share of its expected time, because many runs take longer than expected. */
const minimumRemainingShare = 0.25;

/**
Creates a run that starts now.

@param state `Running` for an adopted run, `Starting` for a run that is being started.
*/
export const createRun = ({task, attempt, room, estimateMilliseconds, leaseLimitAt}: Omit<RunRequest, 'specification'>, state: RunState): Run => {
	const now = performance.now();
	return {
		task, attempt, room, estimateMilliseconds, startSentAt: now, state, isUnconfirmed: false, visibleAt: now, leaseLimitAt, ended: createDeferred<RunResult>(),
	};
};

/**
Checks whether a run belongs to the given task and attempt.
*/
export const isRunOf = (run: Run, {task, attempt}: Pick<Run, 'task' | 'attempt'>): boolean => run.attempt === attempt && isSameTask(run.task, task);

/**
Returns the expected milliseconds until each run ends, in ascending order.

@param factor Expected run time over estimate.
*/
export const remainingTimesOf = (runs: Iterable<Run>, factor: number): readonly number[] => {
	const now = performance.now();
	return [...runs].map(({startSentAt, estimateMilliseconds}) => {
		const expected = estimateMilliseconds * factor;
		return Math.max(expected - (now - startSentAt), minimumRemainingShare * expected);
	}).toSorted((first, second) => first - second);
};

/**
Returns the lowest ratio of elapsed time to estimate among the runs; 0 without runs.
*/
export const overdueFactorOf = (runs: Iterable<Run>): number => {
	const now = performance.now();
	const ratios = [...runs].map(({startSentAt, estimateMilliseconds}) => (now - startSentAt) / Math.max(1, estimateMilliseconds));
	return ratios.length > 0 ? Math.min(...ratios) : 0;
};
