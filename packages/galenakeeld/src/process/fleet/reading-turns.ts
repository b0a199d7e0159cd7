import {performance} from 'node:perf_hooks';

/**
The turns of the event loop, in each of which this process reads what has arrived at its connections. A turn may last for seconds on a slow machine, and what arrives during it is read in the next one.
*/
export type ReadingTurns = {
	/** Begins to observe a turn. Call it from a timer, since timers run between two turns. */
	readonly begin: () => void;
	/** Monotonic milliseconds up to which everything that arrived at open connections has been read. */
	readonly readUpTo: () => number;
};

/** Resolves in the next phase of the event loop in which immediates run. */
const awaitImmediates = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

/**
Waits until everything that had arrived at open connections before the call has been read.

@example
```
await awaitWholeTurn();
if (!disconnected.aborted) {
```
*/
export const awaitWholeTurn = async (): Promise<void> => {
	// The event loop reads between the immediates of two turns.
	await awaitImmediates();
	await awaitImmediates();
};

/**
Creates the record of the turns.

@example
```
const turns = createReadingTurns();
setInterval(turns.begin, 100);
turns.readUpTo();
```
*/
export const createReadingTurns = (): ReadingTurns => {
	let readUpTo = performance.now();
	return {
		begin() {
			const beganAt = performance.now();
			// Immediates run once the turn's reading is over.
			setImmediate(() => {
				readUpTo = beganAt;
			});
		},
		readUpTo: () => readUpTo,
	};
};
