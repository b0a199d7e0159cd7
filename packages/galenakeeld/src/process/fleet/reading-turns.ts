import {performance} from 'node:perf_hooks';

/**
The turns of the event loop, in each of which this process reads what has arrived at its connections. A turn may last for seconds on a slow machine, and what arrives during it is read in the next one.
*/
export type ReadingTurns = {
	/** Begins to observe a turn. Call it from a timer, since timers run between two turns. */
	readonly begin: () => void;
	/** Monotonic milliseconds up to which everything that arrived at open connections has been read. */
	readonly readUpTo: () => number;
	/**
	Records that a connection was accepted just now. The event loop accepts one connection of a server in each turn, so it may have waited for many turns.

	@returns Returns, for what is read at this connection just now, the monotonic milliseconds before which it can't all have arrived.
	*/
	readonly accept: () => () => number;
	/** Returns the duration of the longest observed turn since the last call, in milliseconds. */
	readonly takeLongest: () => number;
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

@param onEnd Called at the end of each observed turn, before `readUpTo` moves on.

@example
```
const turns = createReadingTurns(waits.endOverdue);
setInterval(turns.begin, 100);
turns.readUpTo();
```
*/
export const createReadingTurns = (onEnd: () => void): ReadingTurns => {
	let readUpTo = performance.now();
	/** All connections that had been opened by then have been accepted. */
	let acceptedUpTo = readUpTo;
	let hasAccepted = false;
	let longestMilliseconds = 0;
	return {
		begin() {
			const beganAt = performance.now();
			hasAccepted = false;
			// Immediates run once the turn's reading is over.
			setImmediate(() => {
				onEnd();
				readUpTo = beganAt;
				if (!hasAccepted) {
					acceptedUpTo = beganAt;
				}

				longestMilliseconds = Math.max(longestMilliseconds, performance.now() - beganAt);
			});
		},
		readUpTo: () => readUpTo,
		accept() {
			hasAccepted = true;
			const acceptedAt = performance.now();
			const openedAfter = acceptedUpTo;
			// What had arrived before the connection was accepted is read in a later turn.
			return () => acceptedAt < readUpTo ? readUpTo : openedAfter;
		},
		takeLongest() {
			const milliseconds = longestMilliseconds;
			longestMilliseconds = 0;
			return milliseconds;
		},
	};
};
