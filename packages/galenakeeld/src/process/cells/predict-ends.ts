/**
Predicts the ends of waiting jobs by simulating the schedule.
*/
import {createBinaryHeap} from './binary-heap.js';

/**
A simulated slot that runs one task at a time.
*/
export type SimulatedSlot = {
	/** Milliseconds from now until the slot is free. */
	readonly freeInMilliseconds: number;
	/** Expected run time over estimate. */
	readonly factor: number;
};

/**
A job to simulate. Each step starts after the one before it.
*/
export type PredictedJob = {
	readonly identifier: string;
	/** Waiting tasks by step. */
	readonly steps: ReadonlyArray<{readonly tasks: number; readonly estimateMilliseconds: number}>;
};

/**
A simulated schedule of jobs on slots.
*/
export type SimulatedSchedule = {
	/** Appends a job and returns the milliseconds until it ends. Without slots the time is infinite. */
	readonly append: (job: PredictedJob) => number;
	/** Returns a copy that continues independently. */
	readonly fork: () => SimulatedSchedule;
};

/** The slot that is free soonest comes first, of equal ones the fastest. */
const isSooner = (first: SimulatedSlot, second: SimulatedSlot): boolean =>
	first.freeInMilliseconds < second.freeInMilliseconds
	|| (first.freeInMilliseconds === second.freeInMilliseconds && first.factor < second.factor);

/**
Creates a schedule without jobs.

@param slots Not modified.

@example
```
const schedule = createSchedule([{freeInMilliseconds: 10, factor: 1}]);
schedule.append({identifier: 'a', steps: [{tasks: 1, estimateMilliseconds: 50}]}); // => 60
```
*/
export const createSchedule = (slots: readonly SimulatedSlot[]): SimulatedSchedule => {
	const heap = createBinaryHeap(slots, isSooner);

	/** Runs a task on the first slot and returns its end. */
	const runTask = (earliestStart: number, estimateMilliseconds: number): number => {
		const slot = heap.first();
		if (!slot) {
			return Number.POSITIVE_INFINITY;
		}

		const freeInMilliseconds = Math.max(earliestStart, slot.freeInMilliseconds) + (estimateMilliseconds * slot.factor);
		heap.replaceFirst({freeInMilliseconds, factor: slot.factor});
		return freeInMilliseconds;
	};

	return {
		append({steps}) {
			let end = slots.length > 0 ? 0 : Number.POSITIVE_INFINITY;
			for (const {tasks, estimateMilliseconds} of steps) {
				const earliestStart = end;
				for (let count = 0; count < tasks; count++) {
					end = Math.max(end, runTask(earliestStart, estimateMilliseconds));
				}
			}

			return end;
		},
		fork: () => createSchedule(heap.items()),
	};
};

/**
Returns the milliseconds until each job ends. Without slots the time is infinite.

@param slots Not modified.
@param jobs Jobs in scheduling order.

@example
```
predictEnds([{freeInMilliseconds: 10, factor: 1}], [{identifier: 'a', steps: [{tasks: 1, estimateMilliseconds: 50}]}]).get('a'); // => 60
```
*/
export const predictEnds = (slots: readonly SimulatedSlot[], jobs: readonly PredictedJob[]): ReadonlyMap<string, number> => {
	const schedule = createSchedule(slots);
	return new Map(jobs.map(job => [job.identifier, schedule.append(job)]));
};
