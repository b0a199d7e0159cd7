import type {CellCapacity} from './admit-job.js';
import type {WaitingStep} from './place-tasks.js';

/**
Tasks of a step that go to another cell.
*/
export type TaskShare = {
	/** Key of the part of the job that the tasks are of. */
	readonly part: string;
	readonly position: number;
	readonly indexes: readonly number[];
	readonly cell: string;
};

type FreeClass = {readonly cell: string; readonly service: string; readonly factor: number; processor: number};

/** Time that tasks lose on their way to another cell, and their ends on the way back, in milliseconds. */
const moveMilliseconds = 8;

const isInTimeAt = (waiting: WaitingStep, {factor}: FreeClass, now: number): boolean =>
	!waiting.isInTime || now + moveMilliseconds + (waiting.step.estimateMilliseconds * factor) <= waiting.dueAt;

/** The cell with the most room, so that tasks of one step go together; there the fastest endpoints. */
const mostCapacityFirst = (first: FreeClass, second: FreeClass): number =>
	second.processor - first.processor || first.factor - second.factor;

/**
Shares tasks that found no room in their own cell out to other cells that have some.

Load that it answers: zones whose crests come at different times, and wide jobs, which in one zone would run in waves while others have room.

@param waiting Steps that have found no room, in the order in which they get it.
@param others Is not changed.
@param now Steady milliseconds.

@example
```
shareTasks(waiting, otherCells, performance.now()); // => [{part: '5c0e7a21d94b36f8/0', position: 0, indexes: [2, 3], cell: 'ie-south-b'}]
```
*/
export const shareTasks = (waiting: readonly WaitingStep[], others: readonly CellCapacity[], now: number): readonly TaskShare[] => {
	const classes = others.flatMap(({cell, free}) => free.map((room): FreeClass => ({cell, ...room})));
	const shares: TaskShare[] = [];

	const findCapacity = (step: WaitingStep): FreeClass | undefined => classes
		.filter(free => free.service === step.service && free.processor >= step.step.room.processor && isInTimeAt(step, free, now))
		.toSorted(mostCapacityFirst)[0];

	for (const step of waiting) {
		const byCell = new Map<string, number[]>();
		for (const index of step.indexes) {
			const room = findCapacity(step);
			if (!room) {
				break;
			}

			room.processor -= step.step.room.processor;
			byCell.set(room.cell, [...byCell.get(room.cell) ?? [], index]);
		}

		for (const [cell, indexes] of byCell) {
			shares.push({
				part: step.part, position: step.position, indexes, cell,
			});
		}
	}

	return shares;
};
