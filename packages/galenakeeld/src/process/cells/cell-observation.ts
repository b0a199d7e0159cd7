import {positionOf} from '@galenakeel/model/request/task-key.js';
import type {CellEndpoint} from './cell-endpoint.js';
import type {RunState} from './endpoint-run.js';
import {TaskState, type PlacedJob} from './placed-job.js';
import type {WorkTotals} from './work-times.js';

/**
What a cell contains at one moment.
*/
export type CellContent = {
	readonly jobs: number;
	/** Jobs of which no task has started here. */
	readonly jobsWaiting: number;
	readonly tasksWaiting: number;
	readonly tasksActive: number;
	readonly endpoints: number;
	/** Endpoints that answer polls. */
	readonly endpointsReachable: number;
};

/**
Content of a cell, and the time that it has spent on its work so far.
*/
export type CellObservation = CellContent & {readonly work: WorkTotals};

/**
A run that an endpoint executes, or may execute, for this owner.
*/
export type ActiveRunDescription = {
	readonly job: string;
	readonly task: string;
	readonly attempt: number;
	readonly endpoint: string;
	readonly state: RunState;
};

/**
Describes the runs at the endpoints of a cell.
*/
export const describeRuns = (endpoints: readonly CellEndpoint[]): readonly ActiveRunDescription[] =>
	endpoints.flatMap(endpoint => endpoint.runs().map(({task, attempt, state}) => ({
		job: task.job, task: positionOf(task), attempt, endpoint: endpoint.entry().identifier, state,
	})));

/**
Counts the jobs, tasks and endpoints of a cell.

@example
```
countContent([...jobs.values()], endpoints.all()).tasksWaiting;
```
*/
export const countContent = (jobs: readonly PlacedJob[], endpoints: readonly CellEndpoint[]): CellContent => {
	const content = {
		jobs: jobs.length, jobsWaiting: 0, tasksWaiting: 0, tasksActive: 0, endpoints: endpoints.length, endpointsReachable: 0,
	};
	for (const {hasStarted, steps} of jobs) {
		content.jobsWaiting += hasStarted ? 0 : 1;
		for (const {tasks} of steps) {
			for (const {state} of tasks) {
				content.tasksWaiting += state === TaskState.Waiting ? 1 : 0;
				content.tasksActive += state === TaskState.Active ? 1 : 0;
			}
		}
	}

	for (const endpoint of endpoints) {
		content.endpointsReachable += endpoint.isReachable() ? 1 : 0;
	}

	return content;
};
