/** Span of the sender's clock over which the smallest difference is taken. Clocks drift by a few milliseconds in it. */
const windowMilliseconds = 60_000;

/**
Creates a detector of messages delayed by a network partition or by a pause of either process.

The clocks need not be synchronized: the smallest difference of the last one to two minutes of the sender's clock counts as zero delay. Messages that were held up don't move that time on, since it is the time at which they were sent.

@param maximumDelayMilliseconds Excess over the smallest difference above which a message is delayed.

@example
```
const isDelayed = createDelayDetector(600);
isDelayed(sentAt, performance.now());
```
*/
export const createDelayDetector = (maximumDelayMilliseconds: number) => {
	let windowStartedAt = Number.NEGATIVE_INFINITY;
	let leastBefore = Number.POSITIVE_INFINITY;
	let least = Number.POSITIVE_INFINITY;
	return (sentAt: number, receivedAt: number): boolean => {
		if (sentAt - windowStartedAt > windowMilliseconds) {
			windowStartedAt = sentAt;
			leastBefore = least;
			least = Number.POSITIVE_INFINITY;
		}

		const difference = receivedAt - sentAt;
		const isDelayed = difference - Math.min(least, leastBefore) > maximumDelayMilliseconds;
		least = isDelayed ? least : Math.min(least, difference);
		return isDelayed;
	};
};
