/**
Creates a detector of messages delayed by a network partition or by a pause of either process.

The clocks need not be synchronized: the smallest difference seen so far counts as zero delay.

@param maximumDelayMilliseconds Excess over the smallest difference above which a message is delayed.

@example
```
const isDelayed = createDelayDetector(600);
isDelayed(sentAt, performance.now());
```
*/
export const createDelayDetector = (maximumDelayMilliseconds: number) => {
	let leastDifference = Number.POSITIVE_INFINITY;
	return (sentAt: number, receivedAt: number): boolean => {
		const difference = receivedAt - sentAt;
		leastDifference = Math.min(leastDifference, difference);
		return difference - leastDifference > maximumDelayMilliseconds;
	};
};
