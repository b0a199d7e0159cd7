/** Time for which the expected wait must stay high without interruption before the queue counts as standing. */
const standingMilliseconds = 2000;
/** Fraction of the maximum queue up to which the expected wait counts as low. */
const lowQueueShare = 0.05;

/**
Distinguishes a standing queue from a burst, which drains by itself.
*/
export type StandingQueueDetector = {
	/** Records the expected wait of a task that arrives now; called at a fixed interval. */
	readonly observe: (waitMilliseconds: number, maximumQueueMilliseconds: number, now: number) => void;
	readonly isStanding: (now: number) => boolean;
};

/**
Creates the detector for a queue that is empty now.

A queue is standing when the minimum expected wait of the last two seconds was above a twentieth of the maximum allowed. CoDel uses the minimum delay of an interval in the same way (Nichols and Jacobson, "Controlling Queue Delay", 2012). A queue that is never empty is not enough evidence: at 90% load this happens by chance alone.

@param now Time on the monotonic clock, in milliseconds.

@example
```
const queue = createStandingQueueDetector(performance.now());
queue.observe(420, 1000, performance.now());
queue.isStanding(performance.now()); // => false
```
*/
export const createStandingQueueDetector = (now: number): StandingQueueDetector => {
	let lowAt = now;
	return {
		observe(waitMilliseconds, maximumQueueMilliseconds, observedAt) {
			if (waitMilliseconds <= maximumQueueMilliseconds * lowQueueShare) {
				lowAt = observedAt;
			}
		},
		isStanding: at => at - lowAt > standingMilliseconds,
	};
};
