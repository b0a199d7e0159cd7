import {performance} from 'node:perf_hooks';

/** Step of the time of day against the steady clock from which the process counts as suspended. A step by an operator counts too. */
const stepMilliseconds = 50;

/**
Creates a detector of suspensions of the machine, which the time of day counts and the steady clock doesn't. Call the returned function whenever something depends on how old a steady time is.

@returns A function that returns the steady time in milliseconds at which the last suspension was noticed; negative infinity before the first one. What was recorded up to then may be older than the steady clock shows.

@example
```
const lastSuspendedAt = createSuspensionDetector();
const isReliable = recordedAt > lastSuspendedAt();
```
*/
export const createSuspensionDetector = (): (() => number) => {
	const readDifference = (): number => Date.now() - performance.now();
	let difference = readDifference();
	let suspendedAt = Number.NEGATIVE_INFINITY;
	return () => {
		const before = difference;
		difference = readDifference();
		if (difference - before > stepMilliseconds) {
			suspendedAt = performance.now();
		}

		return suspendedAt;
	};
};
