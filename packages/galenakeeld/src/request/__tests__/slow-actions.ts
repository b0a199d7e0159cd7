import type {SeededRandom} from './seeded-random.js';

/** Probability that an action takes long. A turn of the event loop has some 25 actions. */
const longProbabilities = [0.08, 0.15, 0.25] as const;
const leastLongMilliseconds = 50;
const mostLongMilliseconds = 500;
/** Most milliseconds of the other actions. */
const shortMilliseconds = 2;

/**
Draws the time of each action of a slow daemon, so that a turn of its event loop takes from some tenths of a second to more than a second.

@returns A function that returns the milliseconds of the next action.

@example
```
process.setActionTime(drawSlowActions(random));
```
*/
export const drawSlowActions = (random: SeededRandom): (() => number) => {
	const probability = random.pick(longProbabilities);
	return () => random.isChosen(probability) ? random.integer(leastLongMilliseconds, mostLongMilliseconds) : random.integer(0, shortMilliseconds);
};
