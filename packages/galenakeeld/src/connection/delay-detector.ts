/**
Creates a watch that tells whether a message of a stream was held up, as by a cut of the network or a pause of either process.

The clocks of the two sides need not agree: the least difference that was seen stands for a delay of nothing.

@param maximumDelayMilliseconds Delay over the least one from which a message was held up.

@example
```
const isHeldUp = createDelayWatch(600);
isHeldUp(sentAt, performance.now());
```
*/
export const createDelayDetector = (maximumDelayMilliseconds: number) => {
	let minimumDifference = Number.POSITIVE_INFINITY;
	return (sentAt: number, receivedAt: number): boolean => {
		const difference = receivedAt - sentAt;
		minimumDifference = Math.min(minimumDifference, difference);
		return difference - minimumDifference > maximumDelayMilliseconds;
	};
};
