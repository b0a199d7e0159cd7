import {performance} from 'node:perf_hooks';

/**
The time since the last tick of a timer.
*/
export type TickGap = {
	readonly milliseconds: number;
	/** The process was paused, or its event loop is behind. */
	readonly isPause: boolean;
	/** The gap before this one was a pause too. */
	readonly followsPause: boolean;
};

/**
Creates a detector of pauses of this process. Call the returned function at each tick of a timer.

@param thresholdMilliseconds Gap between two ticks from which the process counts as paused.

@example
```
const measureGap = createPauseDetector(500);
setInterval(() => {
	const {isPause} = measureGap();
}, 50);
```
*/
export const createPauseDetector = (thresholdMilliseconds: number): (() => TickGap) => {
	let tickedAt = performance.now();
	let wasPause = false;
	return () => {
		const now = performance.now();
		const milliseconds = now - tickedAt;
		const isPause = milliseconds > thresholdMilliseconds;
		const gap = {milliseconds, isPause, followsPause: wasPause};
		tickedAt = now;
		wasPause = isPause;
		return gap;
	};
};
