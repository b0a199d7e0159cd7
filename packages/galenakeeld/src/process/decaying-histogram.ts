// The entry of the package also loads its readers and writers of logs.
import {build} from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type {Histogram} from 'hdr-histogram-js';

/**
A histogram of run times that drops old values.
*/
export type DecayingHistogram = {
	readonly record: (milliseconds: number) => void;
	/** Number of values in the histogram. */
	readonly samples: () => number;
	/** Mean in milliseconds; 0 if the histogram is empty. */
	readonly mean: () => number;
	/** Value in milliseconds at a percentile from 0 to 100; 0 if the histogram is empty. */
	readonly percentile: (percentile: number) => number;
};

const maximumRecordableMilliseconds = 3_600_000;

const createGeneration = (): Histogram => build({
	bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 4096, numberOfSignificantValueDigits: 2,
});

/**
Creates an empty histogram of two generations. When the newer generation is full, the older one is discarded and a new one begins.

@param generationSamples Number of values in a full generation.

@example
```
const runs = createDecayingHistogram(256);
runs.record(120);
runs.percentile(50); // => 120
```
*/
export const createDecayingHistogram = (generationSamples: number): DecayingHistogram => {
	let newer = createGeneration();
	let older = createGeneration();
	const both = createGeneration();
	let isMerged = false;

	const merge = (): Histogram => {
		if (!isMerged) {
			both.reset();
			both.add(older);
			both.add(newer);
			isMerged = true;
		}

		return both;
	};

	return {
		record(milliseconds) {
			if (newer.totalCount >= generationSamples) {
				[newer, older] = [older, newer];
				newer.reset();
			}

			newer.recordValue(Math.min(maximumRecordableMilliseconds, Math.max(1, Math.round(milliseconds))));
			isMerged = false;
		},
		samples: () => newer.totalCount + older.totalCount,
		mean: () => merge().mean,
		percentile: percentile => merge().getValueAtPercentile(percentile),
	};
};
