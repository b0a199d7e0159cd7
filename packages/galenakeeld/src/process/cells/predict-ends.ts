/**
Predicts the ends of waiting jobs by simulating the schedule.
*/

/**
A simulated slot that runs one task at a time.
*/
export type SimulatedSlot = {
	/** Milliseconds from now until the slot is free. */
	freeInMilliseconds: number;
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

const earliestSlot = (slots: readonly SimulatedSlot[]): SimulatedSlot => {
	let best = slots[0]!;
	for (const slot of slots) {
		const isSooner = slot.freeInMilliseconds < best.freeInMilliseconds
			|| (slot.freeInMilliseconds === best.freeInMilliseconds && slot.factor < best.factor);
		best = isSooner ? slot : best;
	}

	return best;
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
	const simulated = slots.map(slot => ({...slot}));
	const ends = new Map<string, number>();
	for (const {identifier, steps} of jobs) {
		let end = simulated.length > 0 ? 0 : Number.POSITIVE_INFINITY;
		for (const {tasks, estimateMilliseconds} of steps) {
			const earliestStart = end;
			for (let count = 0; count < tasks && simulated.length > 0; count++) {
				const slot = earliestSlot(simulated);
				const start = Math.max(earliestStart, slot.freeInMilliseconds);
				slot.freeInMilliseconds = start + (estimateMilliseconds * slot.factor);
				end = Math.max(end, slot.freeInMilliseconds);
			}
		}

		ends.set(identifier, end);
	}

	return ends;
};
