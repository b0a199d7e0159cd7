import type {CellCapacity} from './admit-job.js';
import type {WaitingStep} from './place-tasks.js';

/**
Tasks of a step to transfer to another cell.
*/
export type TaskShare = {
	/** Key of the part of the job that the tasks belong to. */
	readonly part: string;
	readonly position: number;
	readonly indexes: readonly number[];
	readonly cell: string;
};

type FreeCapacityClass = {readonly cell: string; readonly service: string; readonly factor: number; processor: number};

/** Latency that a transfer adds to a task and to the return of its result, in milliseconds. */
const moveMilliseconds = 8;

const isInTimeAt = (waiting: WaitingStep, {factor}: FreeCapacityClass, now: number): boolean =>
	!waiting.isInTime || now + moveMilliseconds + (waiting.step.estimateMilliseconds * factor) <= waiting.dueAt;

/** Most free capacity first, so that tasks of one step stay together; then the fastest endpoints. */
const mostCapacityFirst = (first: FreeCapacityClass, second: FreeCapacityClass): number =>
	second.processor - first.processor || first.factor - second.factor;

/**
Distributes tasks that found no capacity in their own cell to other cells with free capacity.

Handles peaks that reach the zones at different times, and wide jobs, which in one zone would run in several rounds while other zones have free capacity.

@param waiting Steps without capacity, in scheduling order.
@param others Not modified.
@param now Monotonic milliseconds.

@example
```
shareTasks(waiting, otherCells, performance.now()); // => [{part: '5c0e7a21d94b36f8/0', position: 0, indexes: [2, 3], cell: 'ie-south-b'}]
```
*/
export const shareTasks = (waiting: readonly WaitingStep[], others: readonly CellCapacity[], now: number): readonly TaskShare[] => {
	const classes = others.flatMap(({cell, free}) => free.map((capacity): FreeCapacityClass => ({cell, ...capacity})));
	const shares: TaskShare[] = [];

	const findCapacity = (step: WaitingStep): FreeCapacityClass | undefined => {
		let best: FreeCapacityClass | undefined;
		for (const free of classes) {
			const isUsable = free.service === step.service && free.processor >= step.step.room.processor && isInTimeAt(step, free, now);
			best = isUsable && (!best || mostCapacityFirst(free, best) < 0) ? free : best;
		}

		return best;
	};

	for (const step of waiting) {
		const byCell = new Map<string, number[]>();
		for (const index of step.indexes) {
			const capacity = findCapacity(step);
			if (!capacity) {
				break;
			}

			capacity.processor -= step.step.room.processor;
			byCell.set(capacity.cell, [...byCell.get(capacity.cell) ?? [], index]);
		}

		for (const [cell, indexes] of byCell) {
			shares.push({
				part: step.part, position: step.position, indexes, cell,
			});
		}
	}

	return shares;
};
