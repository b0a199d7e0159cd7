/** Time for which the expected wait stays high without a break before the queue counts as standing. */
const standingMilliseconds = 2000;
/** Part of the longest queue up to which the expected wait counts as low. */
const lowQueueShare = 0.05;

/**
Tells a burst, which drains by itself, from a queue that stays.
*/
export type StandingQueueDetector = {
	/** Takes the expected wait of a task that arrives now; called at a fixed interval. */
	readonly observe: (waitMilliseconds: number, maximumQueueMilliseconds: number, now: number) => void;
	readonly isStanding: (now: number) => boolean;
};

/**
Creates the watch over a queue that is empty now.

A queue is standing when the lowest expected wait of the last two seconds was above a twentieth of the longest allowed, as CoDel judges by the lowest delay of an interval (Nichols and Jacobson, "Controlling Queue Delay", 2012). That some task is always waiting is no sign of it: at 90% load this is so by chance alone.

@param now Time on the monotonic clock, in milliseconds.

@example
```
const queue = createStandingQueue(performance.now());
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
