/**
Returns the nearest-rank percentile; NaN when there are no values.

@param share From 0 to 1; 0.99 for the 99th percentile.

@example
```
percentile([40, 10, 30, 20], 0.5); // => 20
```
*/
export const percentile = (values: readonly number[], share: number): number => {
	const sorted = values.toSorted((first, second) => first - second);
	return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN;
};

/**
Returns the ratio of a percentile of one set of values to the same percentile of another.
*/
export const percentileRatio = (values: readonly number[], reference: readonly number[], share: number): number =>
	percentile(values, share) / percentile(reference, share);
