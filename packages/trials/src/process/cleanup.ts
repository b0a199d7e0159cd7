type End = () => Promise<void> | void;

/**
What has been started, to be ended in the reverse order.
*/
export type Cleanup = {
	readonly add: (end: End) => void;
	/** Ends everything once. */
	readonly run: () => Promise<void>;
};

/**
Creates a list of what has to be ended, empty at first.

@example
```
const cleanup = createCleanup();
cleanup.add(() => { server.close(); });
await cleanup.run();
```
*/
export const createCleanup = (): Cleanup => {
	const ends: End[] = [];
	return {
		add(end) {
			ends.push(end);
		},
		async run() {
			while (ends.length > 0) {
				await ends.pop()!();
			}
		},
	};
};
