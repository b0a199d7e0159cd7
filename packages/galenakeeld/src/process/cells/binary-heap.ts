/**
A binary heap: its first item is found at once, and replacing it takes a number of comparisons that grows with the logarithm of the items.
*/
export type BinaryHeap<Item> = {
	/** The first item of the order; undefined in an empty heap. */
	readonly first: () => Item | undefined;
	readonly replaceFirst: (item: Item) => void;
	/** All items, in no order. */
	readonly items: () => readonly Item[];
};

/**
Creates a heap.

@param isBefore Order of the items.

@example
```
const heap = createBinaryHeap([30, 10, 20], (first, second) => first < second);
heap.first(); // => 10
heap.replaceFirst(40);
heap.first(); // => 20
```
*/
export const createBinaryHeap = <Item>(items: readonly Item[], isBefore: (first: Item, second: Item) => boolean): BinaryHeap<Item> => {
	const heap = [...items];

	const firstChildOf = (position: number): number => {
		const left = (2 * position) + 1;
		const right = left + 1;
		return right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left;
	};

	const siftDown = (start: number, moving: Item): void => {
		let position = start;
		for (let child = firstChildOf(position); child < heap.length && isBefore(heap[child]!, moving); child = firstChildOf(position)) {
			heap[position] = heap[child]!;
			position = child;
		}

		heap[position] = moving;
	};

	for (let position = Math.floor(heap.length / 2) - 1; position >= 0; position--) {
		siftDown(position, heap[position]!);
	}

	return {
		first: () => heap[0],
		replaceFirst(item) {
			siftDown(0, item);
		},
		items: () => heap,
	};
};
