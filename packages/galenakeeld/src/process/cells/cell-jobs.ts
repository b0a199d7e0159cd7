import {performance} from 'node:perf_hooks';
import {
	FleetMessageKind, type JobOrder, type JobUpdate, type PartEnd, type TaskRedirect,
} from '@galenakeel/model/connection/fleet-message.js';
import {positionOf, type TaskKey} from '@galenakeel/model/request/task-key.js';
import {CellDecision, describePart, type RecordDecision} from './cell-decision.js';
import type {CellEndpoints} from './cell-endpoints.js';
import type {ClosedAssignments} from './closed-assignments.js';
import {
	createEnd, isComplete, isOfPart, moveTasks, partKeyOf, referenceOf, succeededPositions, waitingIndexes, type PlacedJob,
} from './placed-job.js';
import {redirectReturned} from './redirect-returned.js';

/**
The parts of jobs that are in a cell, and the ways in which they leave it.
*/
export type CellJobs = {
	readonly get: (key: string) => PlacedJob | undefined;
	readonly all: () => readonly PlacedJob[];
	readonly add: (job: PlacedJob) => void;
	/** Removes a job and keeps what its holder has to know of it. */
	readonly close: (job: PlacedJob, updates: readonly JobUpdate[]) => void;
	/** Removes a job with the update that reports its end to the holder. */
	readonly finish: (job: PlacedJob, update: JobUpdate) => void;
	/** Ends a job whose tasks have all succeeded, or of which one has failed too often. */
	readonly end: (job: PlacedJob, isComplete: boolean) => void;
	/** Redirects waiting tasks to another cell. */
	readonly transfer: (job: PlacedJob, tasks: ReadonlyArray<Pick<TaskKey, 'step' | 'index'>>, cell: string) => void;
	/** Records that tasks of an order that were redirected to another cell have come back. */
	readonly recordReturn: (order: JobOrder) => void;
	/** Redirects the tasks of a new job that an earlier assignment has redirected, since they may still be stopped in the other cell. */
	readonly repeatRedirects: (job: PlacedJob) => void;
	/** Stops the runs of a job that has left the cell. */
	readonly stopRuns: (job: PlacedJob) => void;
	readonly clear: () => void;
};

export type CellJobsOptions = {
	/** Name of the cell. */
	readonly cell: string;
	readonly closedAssignments: Pick<ClosedAssignments, 'add' | 'addEnd' | 'addRedirects' | 'addStarted' | 'redirectsOf' | 'replaceRedirects'>;
	readonly stopRuns: CellEndpoints['stopRuns'];
	readonly notify: (holder: string, update: JobUpdate) => void;
	/** Called when tasks were redirected to another cell, with the processor that they need there. */
	readonly onRedirected: (cell: string, processor: number) => void;
	readonly onDecision: RecordDecision;
};

const processorOf = (job: PlacedJob, tasks: ReadonlyArray<Pick<TaskKey, 'step'>>): number => {
	let processor = 0;
	for (const {step} of tasks) {
		processor += job.steps[step]!.step.room.processor;
	}

	return processor;
};

/**
Returns the key under which a cell keeps a job.
*/
export const keyOf = ({order}: PlacedJob): string => partKeyOf(order.job.identifier, order.part);

/**
Returns the update for a holder that was lost.
*/
export const createDropped = (job: PlacedJob, hasStarted: boolean): JobUpdate => ({
	kind: FleetMessageKind.Dropped, ...referenceOf(job), hasStarted, succeeded: succeededPositions(job), redirects: job.redirects,
});

/**
Creates an empty set of jobs.

@example
```
const jobs = createCellJobs({cell: 'ie-south-a', closedAssignments, stopRuns: endpoints.stopRuns, notify, onRedirected, onDecision});
jobs.add(job);
jobs.end(job, true);
```
*/
export const createCellJobs = ({cell: ownCell, closedAssignments, stopRuns, notify, onRedirected, onDecision}: CellJobsOptions): CellJobs => {
	const jobs = new Map<string, PlacedJob>();

	const close = (job: PlacedJob, updates: readonly JobUpdate[]): void => {
		const {holder, assignment} = job;
		jobs.delete(keyOf(job));
		closedAssignments.add({holder, assignment, updates});
		if (job.hasStarted) {
			closedAssignments.addStarted(job.order.job.identifier);
		}

		if (job.redirects.length > 0) {
			closedAssignments.addRedirects(job.order.job.identifier, job.redirects);
		}
	};

	/** Keeps the end of a job whose tasks have all succeeded or are elsewhere. */
	const keepEnd = (job: PlacedJob, update: PartEnd): void => {
		if (update.isComplete) {
			closedAssignments.addEnd(job.order, update);
		}
	};

	const finish = (job: PlacedJob, update: JobUpdate): void => {
		close(job, [update]);
		notify(job.holder, update);
	};

	const transfer = (job: PlacedJob, tasks: ReadonlyArray<Pick<TaskKey, 'step' | 'index'>>, cell: string): void => {
		const redirect = moveTasks(job, tasks, cell);
		onDecision(CellDecision.JobRedirected, {
			...describePart(job), cell, tasks: tasks.length,
		});
		onRedirected(cell, processorOf(job, tasks));
		notify(job.holder, {kind: FleetMessageKind.Redirect, ...referenceOf(job), ...redirect});
		if (isComplete(job)) {
			// Nothing is left here; what succeeded before is part of the end.
			const update = createEnd(job, true);
			close(job, [update]);
			keepEnd(job, update);
		}
	};

	const stopRunsOf = (job: PlacedJob): void => {
		stopRuns(task => task.job === job.order.job.identifier && isOfPart(job, task));
	};

	return {
		get: key => jobs.get(key),
		all: () => [...jobs.values()],
		add(job) {
			jobs.set(keyOf(job), job);
		},
		close,
		finish,
		end(job, isComplete) {
			onDecision(CellDecision.JobEnded, {
				...describePart(job), isComplete, ageMilliseconds: Math.round(performance.now() - job.receivedAt), dueInMilliseconds: Math.round(job.dueAt - performance.now()),
			});
			const update = createEnd(job, isComplete);
			finish(job, update);
			keepEnd(job, update);
			stopRunsOf(job);
		},
		transfer,
		recordReturn({job: {identifier}, excluded}) {
			const replace = (redirects: readonly TaskRedirect[]): readonly TaskRedirect[] => redirectReturned(redirects, excluded, ownCell);
			closedAssignments.replaceRedirects(identifier, replace);
			for (const job of jobs.values()) {
				if (job.order.job.identifier === identifier) {
					job.redirects = replace(job.redirects);
				}
			}
		},
		repeatRedirects(job) {
			for (const {positions, cell} of closedAssignments.redirectsOf(job.order.job.identifier)) {
				const moved = new Set(positions);
				const tasks = job.steps.flatMap(placed => waitingIndexes(placed).map(index => ({step: placed.position, index}))).filter(task => moved.has(positionOf(task)));
				if (tasks.length > 0 && cell !== ownCell) {
					transfer(job, tasks, cell);
				}
			}
		},
		stopRuns: stopRunsOf,
		clear() {
			jobs.clear();
		},
	};
};
