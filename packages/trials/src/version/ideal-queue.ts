import type {Arrival} from '../request/arrival.js';

type IdealSlot = {readonly speed: number; freeAt: number};

const earliestFree = (slots: readonly IdealSlot[]): number => Math.min(...slots.map(slot => slot.freeAt));

/**
Finds the fastest slot that is free at a time. The slots are sorted from fast to slow.
*/
const fastestFree = (slots: readonly IdealSlot[], at: number): IdealSlot => slots.find(slot => slot.freeAt <= at)!;

/**
Computes the response times of one central queue that sees all tasks and slots, without any cost of messages.

Tasks start in the order of their arrival (first come first served); each takes the fastest of the free slots, and waits only while no slot is free.

@param arrivals In the order of their times.
@param speeds Speed of each slot; 2 runs a task in half the time of 1.
@param maximumWaitMilliseconds Longest wait; a task that would have to wait longer is refused on its arrival.
@returns Milliseconds from arrival to end, for each arrival; NaN for one that is refused.

@example
```
computeIdeal([{at: 0, runMilliseconds: 100, …}, {at: 10, runMilliseconds: 100, …}], [1]); // => [100, 190]
```
*/
export const computeIdeal = (arrivals: ReadonlyArray<Pick<Arrival, 'at' | 'runMilliseconds'>>, speeds: readonly number[], maximumWaitMilliseconds = Infinity): readonly number[] => {
	const slots = speeds.toSorted((first, second) => second - first).map((speed): IdealSlot => ({speed, freeAt: 0}));
	return arrivals.map(({at, runMilliseconds}) => {
		const startAt = Math.max(at, earliestFree(slots));
		if (startAt - at > maximumWaitMilliseconds) {
			return Number.NaN;
		}

		const slot = fastestFree(slots, startAt);
		slot.freeAt = startAt + (runMilliseconds / slot.speed);
		return slot.freeAt - at;
	});
};
