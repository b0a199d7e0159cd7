import type {EndpointSlots} from './slot-ledger.js';
import {TaskLength} from './task-queue.js';

/**
A task that holds a slot. Times are on the monotonic clock, in milliseconds.
*/
export type RunningTask = {
	readonly slots: EndpointSlots;
	readonly startedAt: number;
	/** Time from which the task counts as long. */
	readonly overrunAt: number;
	/** Longest run time to be expected of such a task on this endpoint. */
	readonly maximumExpectedMilliseconds: number;
	length: TaskLength;
};

/**
The tasks of one service that hold slots of this instance.
*/
export type RunningTasks = {
	/** Adds a task; the function that is returned removes it. */
	readonly add: (task: RunningTask) => () => void;
	readonly long: () => number;
	readonly short: () => number;
	/** Counts the tasks as long that have overrun their estimate. */
	readonly markOverruns: (now: number) => void;
	readonly byEndpoint: (now: number) => ReadonlyMap<EndpointSlots, RunningTaskSummary>;
};

/**
What runs on one endpoint.
*/
export type RunningTaskSummary = {
	/** The task that has run longest. */
	readonly oldest: RunningTask;
	readonly running: number;
	/** Tasks that have run for longer than is to be expected. */
	readonly overdue: number;
};

const isOverdue = ({startedAt, maximumExpectedMilliseconds}: RunningTask, now: number): boolean => now - startedAt > maximumExpectedMilliseconds;

/**
Creates an empty collection of running tasks.

@example
```
const running = createRunningTasks();
const remove = running.add({slots, startedAt: performance.now(), overrunAt, longestMilliseconds, length: TaskLength.Short});
```
*/
export const createRunningTasks = (): RunningTasks => {
	// In the order of their starts.
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
