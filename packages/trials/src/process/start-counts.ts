import type {Fleet} from './fleet.js';

/**
Counts the starts of each task at the endpoints of a fleet.

@returns Number of starts by task name.

@example
```
startCountsOf(fleet).get('single-7'); // => 1
```
*/
export const startCountsOf = (fleet: Pick<Fleet, 'endpoints'>): ReadonlyMap<string, number> => {
	const starts = new Map<string, number>();
	for (const {standIn} of fleet.endpoints) {
		for (const {task} of standIn.starts()) {
			starts.set(task, (starts.get(task) ?? 0) + 1);
		}
	}

	return starts;
};
