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

/**
Creates a generator (mulberry32 by Tommy Ettinger).

@example
```
createSeededRandom(7).integer(1, 6);
```
*/
export const createSeededRandom = (seed: number): SeededRandom => {
	let state = Math.imul(seed + 1, 0x9E_37_79_B1);
	const next = (): number => {
		state = (state + 0x6D_2B_79_F5) % (2 ** 32);
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / (2 ** 32);
	};

	const integer = (least: number, most: number): number => least + Math.floor(next() * (most - least + 1));

	return {
		next,
		integer,
		isChosen: probability => next() < probability,
		pick: items => items[integer(0, items.length - 1)]!,
	};
};
