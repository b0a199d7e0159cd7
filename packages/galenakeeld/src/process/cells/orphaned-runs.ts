import {type ActiveRun, type EndedRun, RunEnd} from '@galenakeel/model/connection/endpoint-calls.js';
import {isSameTask, type TaskKey} from '@galenakeel/model/request/task-key.js';

/**
Active and ended runs at an endpoint that earlier owners started.
*/
export type OrphanedRuns = {
	/** Runs that the last poll reported. */
	readonly active: () => readonly ActiveRun[];
	readonly install: (active: readonly ActiveRun[]) => void;
	/** Records an end, because the job of the run may still be submitted to this owner. */
	readonly recordEnd: (ended: EndedRun) => void;
	readonly hasSucceeded: (task: TaskKey) => boolean;
	/** Removes and returns the run of a task; undefined if there is none. */
	readonly take: (task: TaskKey) => ActiveRun | undefined;
};

/** Successful ends that are kept for each endpoint. */
const maximumSuccesses = 256;

/**
Creates an empty set.

@example
```
const orphans = createOrphanedRuns();
orphans.install(report.active);
orphans.take(task)?.attempt;
```
*/
export const createOrphanedRuns = (): OrphanedRuns => {
	let active: readonly ActiveRun[] = [];
	const successes: TaskKey[] = [];
	return {
		active: () => active,
		install(newer) {
			active = newer;
		},
		recordEnd({task, end}) {
			if (end === RunEnd.Succeeded) {
				successes.push(task);
				successes.splice(0, successes.length - maximumSuccesses);
			}
		},
		hasSucceeded: task => successes.some(one => isSameTask(one, task)),
		take(task) {
			const found = active.find(one => isSameTask(one.task, task));
			active = active.filter(one => one !== found);
			return found;
		},
	};
};
