/**
A binary min-heap of items whose keys do not change.
*/
export type Heap<Item> = {
	readonly add: (item: Item) => void;
	/** Returns the item with the smallest key without removing it. */
	readonly peek: () => Item | undefined;
	readonly shift: () => Item | undefined;
	readonly size: () => number;
	/** Removes and returns all items that match a predicate; scans the whole heap and sorts the remaining items. */
	readonly remove: (isRemoved: (item: Item) => boolean) => readonly Item[];
	readonly values: () => readonly Item[];
};

/**
Creates an empty heap.

@param keyOf Returns the key of an item; items with smaller keys are removed first.

@example
```
const heap = createHeap<number>(value => value);
heap.add(2);
heap.add(1);
heap.shift(); // => 1
```
*/
export const createHeap = <Item>(keyOf: (item: Item) => number): Heap<Item> => {
	let items: Item[] = [];

	const swap = (first: number, second: number): void => {
		[items[first], items[second]] = [items[second]!, items[first]!];
	};

	const keyAt = (position: number): number => position < items.length ? keyOf(items[position]!) : Infinity;

	const siftUp = (from: number): void => {
		for (let position = from; position > 0;) {
			const parent = Math.floor((position - 1) / 2);
			if (keyAt(parent) <= keyAt(position)) {
				return;
			}

			swap(parent, position);
			position = parent;
		}
	};

	const siftDown = (from: number): void => {
		for (let position = from; ;) {
			const left = (position * 2) + 1;
			const smaller = keyAt(left + 1) < keyAt(left) ? left + 1 : left;
			if (keyAt(smaller) >= keyAt(position)) {
				return;
			}

			swap(smaller, position);
			position = smaller;
		}
	};

	return {
		add(item) {
			items.push(item);
			siftUp(items.length - 1);
		},
		peek: () => items[0],
		shift() {
			const first = items[0];
			const last = items.pop();
			if (items.length > 0) {
				items[0] = last!;
				siftDown(0);
			}

			return first;
		},
		size: () => items.length,
		remove(isRemoved) {
			const removed = items.filter(item => isRemoved(item));
			if (removed.length > 0) {
				// A sorted array is a heap.
				items = items.filter(item => !isRemoved(item)).toSorted((first, second) => keyOf(first) - keyOf(second));
			}

			return removed;
		},
		values: () => items,
	};
};
