import {performance} from 'node:perf_hooks';
import type {JobUpdate} from '@galenakeel/model/connection/fleet-message.js';
import type {PlacedJob} from './placed-job.js';

/**
A part of a job that has left its cell.
*/
export type FinishedPart = {
	readonly job: PlacedJob;
	/** Update that reports its end; undefined if its last tasks were transferred to other cells. */
	readonly update: JobUpdate | undefined;
};

/**
The parts that have left a cell, kept for holders that missed the update.
*/
export type FinishedParts = {
	readonly add: (key: string, part: FinishedPart) => void;
	readonly get: (key: string) => FinishedPart | undefined;
	/** Removes the parts whose retention period is over. */
	readonly sweep: () => void;
};

/**
Creates an empty set.

@param keepMilliseconds How long a part is kept, in milliseconds.

@example
```
const finishedParts = createFinishedParts(5000);
finishedParts.add('5c0e7a21d94b36f8/0', {job, update});
```
*/
export const createFinishedParts = (keepMilliseconds: number): FinishedParts => {
	const parts = new Map<string, FinishedPart & {readonly at: number}>();
	return {
		add(key, part) {
			parts.delete(key);
			parts.set(key, {...part, at: performance.now()});
		},
		get: key => parts.get(key),
		sweep() {
			const oldest = performance.now() - keepMilliseconds;
			for (const [key, {at}] of parts) {
				// Parts are in the order in which they were added.
				if (at >= oldest) {
					break;
				}

				parts.delete(key);
			}
		},
	};
};
