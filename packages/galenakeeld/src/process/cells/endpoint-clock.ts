import {performance} from 'node:perf_hooks';

/**
Estimates the monotonic clock of an endpoint from its answers.
*/
export type EndpointClock = {
	/** Records the clock value of an answer that has just arrived. */
	readonly observe: (clockMilliseconds: number) => void;
	/** Upper bound of the endpoint's clock now; undefined before the first answer. */
	readonly now: () => number | undefined;
	/** Whether a clock value of an answer that has just arrived may be of this clock, rather than of the clock of another incarnation, which began anew. */
	readonly isPlausible: (clockMilliseconds: number) => boolean;
};

/** Difference between an answer's clock and the expected one that a late answer can't explain. */
const maximumDeviationMilliseconds = 300;

/**
Creates a clock that has not been observed yet.

@example
```
const clock = createEndpointClock();
clock.observe(482113);
clock.now();
```
*/
export const createEndpointClock = (): EndpointClock => {
	let offset: number | undefined;
	return {
		observe(clockMilliseconds) {
			offset = clockMilliseconds - performance.now();
		},
		now: () => offset === undefined ? undefined : performance.now() + offset,
		isPlausible: clockMilliseconds => offset === undefined || Math.abs(performance.now() + offset - clockMilliseconds) <= maximumDeviationMilliseconds,
	};
};
