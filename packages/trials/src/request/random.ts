import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
Random draws that repeat for the same seed.
*/
export type Random = {
	/** A whole number from `least` to `most`, both included. */
	readonly integer: (least: number, most: number) => number;
	/** A number from 0 to 1, 1 excluded. */
	readonly fraction: () => number;
	readonly pick: <Item>(items: readonly Item[]) => Item;
};

/**
Creates a source of random draws.

@example
```
const random = createRandom(1);
const milliseconds = random.integer(50, 1000);
```
*/
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const integer = (least: number, most: number): number => uniformInt(generator, least, most);
	return {
		integer,
		fraction: () => uniformFloat64(generator),
		pick: items => items[integer(0, items.length - 1)]!,
	};
};
