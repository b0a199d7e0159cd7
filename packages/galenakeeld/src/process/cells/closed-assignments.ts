import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type JobUpdate, type PartEnd} from '@galenakeel/model/connection/fleet-message.js';
import {hasSamePositions} from './same-positions.js';

/**
An assignment that is no longer in its cell, and what its owner said last.
*/
export type ClosedAssignment = {
	readonly holder: string;
	readonly assignment: number;
	/** Key of the part, which later assignments of it share. */
	readonly part: string;
	/** Tasks of the job that don't belong to the part. */
	readonly excluded: readonly string[];
	/** The updates that a holder has to know at the least, in order; none after a cancel. */
	readonly updates: readonly JobUpdate[];
};

/**
The assignments that have left a cell: what an owner has said of one stays said when the holder submits it again.
*/
export type ClosedAssignments = {
	readonly add: (closed: ClosedAssignment) => void;
	readonly get: (holder: string, assignment: number) => ClosedAssignment | undefined;
	/** The end of the same tasks under an earlier assignment, if all of them succeeded. */
	readonly findEnd: (part: string, excluded: readonly string[]) => PartEnd | undefined;
	/** Whether an assignment of that age may have been removed. */
	readonly isForgotten: (ageMilliseconds: number) => boolean;
	/** Removes the assignments whose retention period is over. */
	readonly sweep: () => void;
};

const keyOf = (holder: string, assignment: number): string => `${holder} ${assignment}`;

/** Margin for the time that an order is on its way. */
const transitMilliseconds = 2000;

/**
Creates an empty set.

@param keepMilliseconds How long an assignment is kept, in milliseconds.

@example
```
const closedAssignments = createClosedAssignments(30_000);
closedAssignments.add({holder: '10.1.0.13:7720', assignment: 1, part: '5c0e7a21d94b36f8/0', excluded: [], updates: [refusal]});
closedAssignments.get('10.1.0.13:7720', 1)?.updates; // => [refusal]
```
*/
export const createClosedAssignments = (keepMilliseconds: number): ClosedAssignments => {
	const assignments = new Map<string, ClosedAssignment & {readonly at: number}>();
	/** The last successful end of each part. */
	const ends = new Map<string, {readonly closed: ClosedAssignment; readonly end: PartEnd}>();

	const remove = (key: string, closed: ClosedAssignment): void => {
		assignments.delete(key);
		if (ends.get(closed.part)?.closed.assignment === closed.assignment) {
			ends.delete(closed.part);
		}
	};

	return {
		add(closed) {
			const key = keyOf(closed.holder, closed.assignment);
			assignments.delete(key);
			assignments.set(key, {...closed, at: performance.now()});
			const last = closed.updates.at(-1);
			if (last?.kind === FleetMessageKind.End && last.isComplete) {
				ends.set(closed.part, {closed, end: last});
			}
		},
		get: (holder, assignment) => assignments.get(keyOf(holder, assignment)),
		findEnd(part, excluded) {
			const found = ends.get(part);
			return found && hasSamePositions(found.closed.excluded, excluded) ? found.end : undefined;
		},
		isForgotten: ageMilliseconds => ageMilliseconds > keepMilliseconds - transitMilliseconds,
		sweep() {
			const oldest = performance.now() - keepMilliseconds;
			for (const [key, closed] of assignments) {
				// Assignments are in the order in which they were added.
				if (closed.at >= oldest) {
					break;
				}

				remove(key, closed);
			}
		},
	};
};
