import {performance} from 'node:perf_hooks';
// The entry of the package also loads its readers and writers of logs.
import {build} from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type {Histogram} from 'hdr-histogram-js';
import {
	MetricType, quantileLabel, type MetricFamily, type MetricSample,
} from './prometheus-text.js';

const percentiles = [50, 90, 99, 99.9] as const;
const windowMilliseconds = 30_000;
const microsecondsInMillisecond = 1000;
const microsecondsInSecond = 1_000_000;
const maximumMicroseconds = 3_600_000_000;
const otherServices = 'other';

/**
Percentiles of recent durations by service, with the sum and count of all durations.
*/
export type Percentiles = {
	/** Records a duration in milliseconds. */
	readonly record: (service: string, milliseconds: number) => void;
	readonly family: () => MetricFamily;
};

type ServiceDurations = {current: Histogram; previous: Histogram; rotatedAt: number; count: number; sumMilliseconds: number};

const createHistogram = (): Histogram => build({
	bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 2, numberOfSignificantValueDigits: 2,
});

/** Starts a new window when the current one has ended. Percentiles are read from the current and the previous window, and so cover the last 30 to 60 seconds. */
const rotateHistograms = (durations: ServiceDurations, now: number): void => {
	const age = now - durations.rotatedAt;
	if (age < windowMilliseconds) {
		return;
	}

	const {previous} = durations;
	previous.reset();
	durations.previous = durations.current;
	durations.current = previous;
	if (age >= 2 * windowMilliseconds) {
		durations.previous.reset();
	}

	durations.rotatedAt = now;
};

const samplesOf = (service: string, durations: ServiceDurations): readonly MetricSample[] => {
	rotateHistograms(durations, performance.now());
	const merged = createHistogram();
	merged.add(durations.previous);
	merged.add(durations.current);
	return [
		...percentiles.map(percentile => ({
			labels: {service, quantile: quantileLabel(percentile)}, value: merged.getValueAtPercentile(percentile) / microsecondsInSecond,
		})),
		{suffix: '_sum', labels: {service}, value: durations.sumMilliseconds / 1000},
		{suffix: '_count', labels: {service}, value: durations.count},
	];
};

/**
Creates a summary metric without durations.

@param options.services Maximum number of services with percentiles of their own; all others share the label `other`.

@example
```
const waits = createPercentiles('galenakeel_slot_wait_seconds', 'Wait for a slot.', {services: 64});
waits.record('paysheet', 12.5);
```
*/
export const createPercentiles = (name: string, help: string, options: {services: number}): Percentiles => {
	const byService = new Map<string, ServiceDurations>();

	const durationsOf = (service: string): ServiceDurations => {
		const existing = byService.get(service);
		if (existing) {
			return existing;
		}

		if (byService.size >= options.services && service !== otherServices) {
			return durationsOf(otherServices);
		}

		const created: ServiceDurations = {
			current: createHistogram(), previous: createHistogram(), rotatedAt: performance.now(), count: 0, sumMilliseconds: 0,
		};
		byService.set(service, created);
		return created;
	};

	return {
		record(service, milliseconds) {
			const durations = durationsOf(service);
			rotateHistograms(durations, performance.now());
			durations.current.recordValue(Math.min(maximumMicroseconds, Math.max(0, Math.round(milliseconds * microsecondsInMillisecond))));
			durations.count++;
			durations.sumMilliseconds += milliseconds;
		},
		family: () => ({
			name, help, type: MetricType.Summary, samples: [...byService].flatMap(([service, durations]) => samplesOf(service, durations)),
		}),
	};
};
