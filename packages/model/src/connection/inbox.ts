import {createDeferred, type Deferred} from '../request/deferred.js';

/**
Unbounded queue between a callback that produces items and a single loop that consumes them.
*/
export type Inbox<Item> = AsyncIterable<Item> & {
	readonly push: (item: Item) => void;
	/** Ends the loop after it has consumed the items that were already pushed. */
	readonly close: () => void;
};

/**
Creates an empty inbox.

@example
```
const inbox = createInbox<string>();
inbox.push('first');
for await (const item of inbox) { … }
```
*/
export const createInbox = <Item>(): Inbox<Item> => {
	const items: Item[] = [];
	let waiting: Deferred<void> | undefined;
	let isClosed = false;

	const wake = (): void => {
		waiting?.resolve();
		waiting = undefined;
	};

	return {
		push(item) {
			items.push(item);
			wake();
		},
		close() {
			isClosed = true;
			wake();
		},
		async * [Symbol.asyncIterator]() {
			for (;;) {
				while (items.length > 0) {
					yield items.shift()!;
				}

				if (isClosed) {
					return;
				}

				waiting = createDeferred<void>();
				await waiting.promise;
			}
		},
	};
};
