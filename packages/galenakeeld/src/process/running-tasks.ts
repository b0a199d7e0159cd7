import type {EndpointSlots} from './slot-ledger.js';
import {TaskLength} from './task-queue.js';

/**
A task that occupies a slot. Times are monotonic, in milliseconds.
*/
export type RunningTask = {
	readonly slots: EndpointSlots;
	readonly startedAt: number;
	/** Time from which the task counts as long. */
	readonly overrunAt: number;
	/** Maximum expected run time of the task on this endpoint; infinite if there are too few measurements. */
	readonly maximumExpectedMilliseconds: number;
	length: TaskLength;
};

/**
The tasks of one service that occupy slots of this instance.
*/
export type RunningTasks = {
	/** Adds a task and returns a function that removes it. */
	readonly add: (task: RunningTask) => () => void;
	/** Number of running tasks that count as long. */
	readonly long: () => number;
	/** Number of running tasks that count as short. */
	readonly short: () => number;
	/** Marks short tasks as long once their overrun time is reached. */
	readonly markOverruns: (now: number) => void;
	/** Summarizes the running tasks of each endpoint that runs any. */
	readonly byEndpoint: (now: number) => ReadonlyMap<EndpointSlots, RunningTaskSummary>;
};

/**
Summary of the tasks that run on one endpoint.
*/
export type RunningTaskSummary = {
	/** The task with the earliest start. */
	readonly oldest: RunningTask;
	/** Number of running tasks. */
	readonly running: number;
	/** Number of tasks that have exceeded their maximum expected run time. */
	readonly overdue: number;
};

const isOverdue = ({startedAt, maximumExpectedMilliseconds}: RunningTask, now: number): boolean => now - startedAt > maximumExpectedMilliseconds;

/**
Creates an empty collection of running tasks.

@example
```
const running = createRunningTasks();
const remove = running.add({slots, startedAt: performance.now(), overrunAt, maximumExpectedMilliseconds, length: TaskLength.Short});
```
*/
export const createRunningTasks = (): RunningTasks => {
	// Ordered by start time.
	const tasks = new Set<RunningTask>();
	let long = 0;
	return {
		add(task) {
			tasks.add(task);
			long += task.length === TaskLength.Long ? 1 : 0;
			return () => {
				if (tasks.delete(task)) {
					long -= task.length === TaskLength.Long ? 1 : 0;
				}
			};
		},
		long: () => long,
		short: () => tasks.size - long,
		markOverruns(now) {
			for (const task of tasks) {
				if (task.length === TaskLength.Short && now >= task.overrunAt) {
					task.length = TaskLength.Long;
					long++;
				}
			}
		},
		byEndpoint(now) {
			const runs = new Map<EndpointSlots, RunningTaskSummary>();
			for (const task of tasks) {
				const {oldest = task, running = 0, overdue = 0} = runs.get(task.slots) ?? {};
				runs.set(task.slots, {oldest, running: running + 1, overdue: overdue + (isOverdue(task, now) ? 1 : 0)});
			}

			return runs;
		},
	};
};
