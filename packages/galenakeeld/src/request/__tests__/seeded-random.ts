/**
A generator of pseudo-random numbers, the same for the same seed.
*/
export type SeededRandom = {
	/** A number from 0, inclusive, to 1, exclusive. */
	readonly next: () => number;
	/** A whole number from `least` to `most`, both inclusive. */
	readonly integer: (least: number, most: number) => number;
	/** True with this probability. */
	readonly isChosen: (probability: number) => boolean;
	/** One of the items, which must not be empty. */
	readonly pick: <Item>(items: readonly Item[]) => Item;
};

const modulus = (2 ** 31) - 1;
const multiplier = 48_271;
/** Numbers that are left out at first, since those of neighbouring seeds are alike. */
const skippedNumbers = 5;

/**
Creates a generator (Park and Miller, multiplier 48271).

@example
```
createSeededRandom(7).integer(1, 6);
```
*/
export const createSeededRandom = (seed: number): SeededRandom => {
	let state = seed + 1;
	const next = (): number => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};

	for (let skipped = 0; skipped < skippedNumbers; skipped++) {
		next();
	}

	const integer = (least: number, most: number): number => least + Math.floor(next() * (most - least + 1));

	return {
		next,
		integer,
		isChosen: probability => next() < probability,
		pick: items => items[integer(0, items.length - 1)]!,
	};
};
