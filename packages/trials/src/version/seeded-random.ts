const increment = 0x6D_2B_79_F5;
const range = 2 ** 32;

/**
A source of numbers from 0 (inclusive) to 1 (exclusive).
*/
export type RandomSource = () => number;

/**
Creates a source whose numbers follow from its seed alone.

The algorithm is Mulberry32 by Tommy Ettinger.

@example
```
const random = createSeededRandom(7);
const draws = [random(), random()]; // The same two numbers for every source with seed 7.
```
*/
export const createSeededRandom = (seed: number): RandomSource => {
	/* eslint-disable no-bitwise -- the algorithm works on the bits of 32-bit integers */
	let state = seed >>> 0;
	return () => {
		state = (state + increment) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), state | 1);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / range;
	};
	/* eslint-enable no-bitwise */
};
