import {performance} from 'node:perf_hooks';
import {createSuspensionDetector} from '../suspension-detector.js';

/** Resolves in the next phase of the event loop in which immediates run. */
const awaitImmediates = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

/**
Creates a function that waits until this process has read what had arrived at its connections. After a pause the event loop reads a request and the end of its connection in different turns.

@param mostMilliseconds How long ago the reading may have begun when the wait ends, in milliseconds; what has arrived since then may be unread. The wait goes on after a pause or suspension in between.

@example
```
const readArrivals = createArrivalReader(240);
await readArrivals();
if (!disconnected.aborted) {
```
*/
export const createArrivalReader = (mostMilliseconds: number): (() => Promise<void>) => {
	const lastSuspendedAt = createSuspensionDetector();
	return async () => {
		for (;;) {
			const beganAt = performance.now();
			// The event loop reads between the immediates of two turns.
			await awaitImmediates();
			await awaitImmediates();
			if (performance.now() - beganAt <= mostMilliseconds && lastSuspendedAt() < beganAt) {
				return;
			}
		}
	};
};
