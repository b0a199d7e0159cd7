import {type ActiveRun, type EndedRun, RunEnd} from '@galenakeel/model/connection/endpoint-calls.js';
import {isSameTask, type TaskKey} from '@galenakeel/model/request/task-key.js';

/**
What an endpoint runs, or has run, by orders of earlier owners.
*/
export type OrphanedRuns = {
	/** Runs that the last look showed. */
	readonly active: () => readonly ActiveRun[];
	readonly install: (active: readonly ActiveRun[]) => void;
	/** Notes an end, since its job may be handed over yet. */
	readonly recordEnd: (ended: EndedRun) => void;
	readonly hasSucceeded: (task: TaskKey) => boolean;
	/** Takes the run of a task out; undefined if there is none. */
	readonly take: (task: TaskKey) => ActiveRun | undefined;
};

/** Ends of earlier owners that are kept. */
const maximumSuccesses = 256;

/**
Creates an empty set.

@example
```
const strays = createStrayRuns();
strays.install(report.active);
strays.take(task)?.attempt;
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
