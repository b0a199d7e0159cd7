/**
A value measured at a size.
*/
export type SizedValue = {readonly size: number; readonly value: number};

/**
A straight line fitted to measured values.
*/
export type Line = {
	readonly slope: number;
	readonly intercept: number;
	/** Root mean square of the residuals, in the unit of the values. */
	readonly residual: number;
};

const mean = (values: readonly number[]): number => {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total / values.length;
};

/**
Fits a line by ordinary least squares.

@throws A `RangeError` when there are fewer than two different sizes.

@example
```
fitLine([{size: 1, value: 3}, {size: 2, value: 5}]); // => {slope: 2, intercept: 1, residual: 0}
```
*/
export const fitLine = (points: readonly SizedValue[]): Line => {
	const meanSize = mean(points.map(({size}) => size));
	const meanValue = mean(points.map(({value}) => value));
	const spread = mean(points.map(({size}) => (size - meanSize) ** 2));
	if (!(spread > 0)) {
		throw new RangeError('cannot fit a line to values at fewer than two different sizes');
	}

	const slope = mean(points.map(({size, value}) => (size - meanSize) * (value - meanValue))) / spread;
	const intercept = meanValue - (slope * meanSize);
	const residual = Math.sqrt(mean(points.map(({size, value}) => (value - intercept - (slope * size)) ** 2)));
	return {slope, intercept, residual};
};
