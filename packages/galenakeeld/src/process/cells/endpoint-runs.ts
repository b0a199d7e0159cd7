import {performance} from 'node:perf_hooks';
import type {ActiveRun} from '@galenakeel/model/connection/endpoint-calls.js';
import type {Resources} from '@galenakeel/model/request/job.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {
	isRunOf, RunResult, RunState, type Run,
} from './endpoint-run.js';
import {addResources, subtractResources} from './room.js';

/**
The runs that an owner has started or adopted at an endpoint, and the room that they leave there.
*/
export type EndpointRuns = {
	/** The runs as they are: a run that is added or settled while a caller goes over them counts at once. */
	readonly all: () => ReadonlySet<Run>;
	readonly count: () => number;
	/** Number of the runs of a step of a job. */
	readonly countOf: (job: string, step: number) => number;
	/** Room that the runs leave free. */
	readonly free: () => Resources;
	readonly add: (run: Run) => void;
	/** The run of this owner that an endpoint reports. */
	readonly findReported: (reported: Pick<ActiveRun, 'task' | 'attempt'>) => Run | undefined;
	readonly isActive: (run: Run) => boolean;
	/** Ends a run with a result, once. */
	readonly settle: (run: Run, result: RunResult) => void;
	readonly settleAllAsLost: () => void;
	/** Abandons the runs of the tasks for which `isStopped` returns true, and calls `stop` for each of them. */
	readonly abandon: (isStopped: (task: TaskKey) => boolean, stop: (run: Run) => void) => void;
	/** Runs that are being stopped because their job has left the cell. */
	readonly abandoned: () => ReadonlySet<Run>;
	/** Whether too many starts have an unknown outcome. A single one may be a lost answer. */
	readonly hasTooManyUnconfirmedStarts: () => boolean;
	/** Monotonic milliseconds after which the lease of the endpoint must not end. It covers all runs there, so the run that has to end first limits it. */
	readonly leaseLimitAt: () => number;
	/** Installs the room of a newer entry of the endpoint. */
	readonly installRoom: (room: Resources) => void;
};

export type EndpointRunsOptions = {
	/** Room of the endpoint without runs. */
	readonly room: Resources;
	readonly holdMaximumMilliseconds: number;
	/** Called after each end of a run. */
	readonly onChange: () => void;
};

/** Number of simultaneous starts without an answer from which an endpoint gets no more. */
const maximumUnconfirmedStarts = 2;

const areTooManyUnconfirmed = (runs: Iterable<Run>): boolean => {
	let unconfirmed = 0;
	for (const {isUnconfirmed, state} of runs) {
		unconfirmed += isUnconfirmed && state === RunState.Starting ? 1 : 0;
	}

	return unconfirmed >= maximumUnconfirmedStarts;
};

const leaseLimitOf = (runs: Iterable<Run>): number => {
	let limitAt = Number.POSITIVE_INFINITY;
	for (const run of runs) {
		limitAt = Math.min(limitAt, run.leaseLimitAt());
	}

	return limitAt;
};

const findReportedRun = (runs: Iterable<Run>, reported: Pick<ActiveRun, 'task' | 'attempt'>): Run | undefined => {
	for (const run of runs) {
		if (isRunOf(run, reported)) {
			return run;
		}
	}

	return undefined;
};

/**
Creates an empty set of runs.

@example
```
const runs = createEndpointRuns({room: entry.room, holdMaximumMilliseconds: 1000, onChange});
runs.add(run);
runs.settle(run, RunResult.Succeeded);
```
*/
export const createEndpointRuns = ({room, holdMaximumMilliseconds, onChange}: EndpointRunsOptions): EndpointRuns => {
	const runs = new Set<Run>();
	const abandonedRuns = new Set<Run>();
	let free = room;

	const abandon = (run: Run): void => {
		abandonedRuns.add(run);
		const limitAt = Math.min(run.leaseLimitAt(), performance.now() + holdMaximumMilliseconds);
		run.leaseLimitAt = () => limitAt;
	};

	const settle = (run: Run, result: RunResult): void => {
		if (!runs.delete(run)) {
			return;
		}

		abandonedRuns.delete(run);
		free = addResources(free, run.room);
		run.ended.resolve(result);
		onChange();
	};

	return {
		all: () => runs,
		count: () => runs.size,
		countOf: (job, step) => [...runs].filter(({task}) => task.job === job && task.step === step).length,
		free: () => free,
		add(run) {
			runs.add(run);
			free = subtractResources(free, run.room);
		},
		findReported: reported => findReportedRun(runs, reported),
		isActive: run => runs.has(run),
		settle,
		settleAllAsLost() {
			for (const run of runs) {
				settle(run, RunResult.Lost);
			}
		},
		abandon(isStopped, stop) {
			for (const run of runs) {
				if (isStopped(run.task) && !abandonedRuns.has(run)) {
					abandon(run);
					stop(run);
				}
			}
		},
		abandoned: () => abandonedRuns,
		hasTooManyUnconfirmedStarts: () => areTooManyUnconfirmed(runs),
		leaseLimitAt: () => leaseLimitOf(runs),
		installRoom(newer) {
			free = newer;
			for (const run of runs) {
				free = subtractResources(free, run.room);
			}
		},
	};
};
