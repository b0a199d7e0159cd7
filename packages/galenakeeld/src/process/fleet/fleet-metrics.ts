import type {JobEnd} from '@galenakeel/model/request/job.js';
import {createCounters} from '../counters.js';
import {createPercentiles} from '../percentiles.js';
import {MetricType, type MetricFamily} from '../prometheus-text.js';
import {createLoadMetrics, type LoadMetrics} from './load-metrics.js';

/**
Metrics of a daemon.
*/
export type FleetMetrics = {
	readonly countDecision: (decision: string) => void;
	/** Records the time from the arrival of a job at its cell to the first start request of a task. */
	readonly recordTaskWait: (milliseconds: number) => void;
	readonly recordJob: (queue: string, end: JobEnd | undefined, milliseconds: number) => void;
	readonly recordLoad: LoadMetrics['record'];
	readonly families: () => readonly MetricFamily[];
	readonly gauge: (name: string, help: string, value: number) => MetricFamily;
};

const allQueues = 'all';
const maximumQueues = 64;

/**
Creates metrics without samples.

@example
```
const metrics = createFleetMetrics();
metrics.recordTaskWait(1.4);
```
*/
export const createFleetMetrics = (): FleetMetrics => {
	const decisions = createCounters('galenakeel_decisions_total', 'Decisions by kind.', ['decision']);
	const ends = createCounters('galenakeel_jobs_total', 'Jobs by queue and end.', ['queue', 'end']);
	const waits = createPercentiles('galenakeel_job_wait_seconds', 'Time from the arrival of a job at its cell to its first order.', {services: maximumQueues});
	const durations = createPercentiles('galenakeel_job_seconds', 'Time from a job\'s arrival to its answer.', {services: maximumQueues});
	const load = createLoadMetrics();
	return {
		countDecision(decision) {
			decisions.add([decision]);
		},
		recordTaskWait(milliseconds) {
			waits.record(allQueues, milliseconds);
		},
		recordJob(queue, end, milliseconds) {
			ends.add([queue, end ?? 'unknown']);
			durations.record(queue, milliseconds);
		},
		recordLoad: load.record,
		families: () => [decisions.family(), ends.family(), waits.family(), durations.family(), ...load.families()],
		gauge: (name, help, value) => ({
			name, help, type: MetricType.Gauge, samples: [{labels: {}, value}],
		}),
	};
};
