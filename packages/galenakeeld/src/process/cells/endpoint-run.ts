import {performance} from 'node:perf_hooks';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import type {Room} from '@galenakeel/model/request/job.js';
import {isSameTask, type TaskKey} from '@galenakeel/model/request/task-key.js';

/**
What became of a run.
*/
export enum RunResult {
	Succeeded = 'succeeded',
	Failed = 'failed',
	/** Nothing runs any more; the task may be started again. */
	Lost = 'lost',
	/** The endpoint had no room after all, or declined; nothing has run. */
	Declined = 'declined',
}

/**
Where a run stands, as far as its owner knows.
*/
export enum RunState {
	/** The order is on its way, or its outcome isn't known. */
	Ordered = 'ordered',
	Running = 'running',
	/** A stop was carried out; its end isn't listed yet. */
	Stopping = 'stopping',
}

/**
A run that its owner has started or adopted.
*/
export type Run = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly room: Room;
	readonly estimateMilliseconds: number;
	readonly orderedAt: number;
	state: RunState;
	/** Its start was not answered in time. */
	isUnconfirmed: boolean;
	/** Steady milliseconds since when a look must show the run, or its end. */
	visibleAt: number;
	readonly ended: Deferred<RunResult>;
};

/**
A task to start.
*/
export type RunRequest = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly room: Room;
	readonly estimateMilliseconds: number;
	readonly specification: string;
};

/** Share of its expected time that an active run takes at least from any moment on, as many run longer than expected. */
const minimumRemainingShare = 0.25;

/**
Creates a run that begins now.

@param state `Running` for one that is adopted, `Ordered` for one that is started.
*/
export const createRun = ({task, attempt, room, estimateMilliseconds}: Omit<RunRequest, 'specification'>, state: RunState): Run => {
	const now = performance.now();
	return {
		task, attempt, room, estimateMilliseconds, orderedAt: now, state, isUnconfirmed: false, visibleAt: now, ended: createDeferred<RunResult>(),
	};
};

/**
Tells whether a run is of a task and an attempt.
*/
export const isRunOf = (run: Run, {task, attempt}: Pick<Run, 'task' | 'attempt'>): boolean => run.attempt === attempt && isSameTask(run.task, task);

/**
Returns the expected milliseconds until each run ends, the soonest first.

@param factor Expected run time over estimate.
*/
export const remainingTimesOf = (runs: Iterable<Run>, factor: number): readonly number[] => {
	const now = performance.now();
	return [...runs].map(({orderedAt, estimateMilliseconds}) => {
		const expected = estimateMilliseconds * factor;
		return Math.max(expected - (now - orderedAt), minimumRemainingShare * expected);
	}).toSorted((first, second) => first - second);
};

/**
Returns the ratio of elapsed time to estimate that all runs have passed; 0 without runs.
*/
export const overdueFactorOf = (runs: Iterable<Run>): number => {
	const now = performance.now();
	const ratios = [...runs].map(({orderedAt, estimateMilliseconds}) => (now - orderedAt) / Math.max(1, estimateMilliseconds));
	return ratios.length > 0 ? Math.min(...ratios) : 0;
};
