import process from 'node:process';
import type {IntervalHistogram} from 'node:perf_hooks';
import type {DispatchedService, ServiceDispatchers} from './service-dispatchers.js';
import {
	MetricType, quantileLabel, type MetricFamily, type MetricSample,
} from './prometheus-text.js';

const nanosecondsInSecond = 1_000_000_000;
const microsecondsInSecond = 1_000_000;
const percentiles = [50, 99, 99.9] as const;

const single = (name: string, help: string, value: number, type = MetricType.Gauge): MetricFamily => ({
	name, help, type, samples: [{labels: {}, value}],
});

const byService = (dispatchers: ServiceDispatchers, options: {name: string; help: string; measure: (service: DispatchedService) => number}): MetricFamily => ({
	name: options.name,
	help: options.help,
	type: MetricType.Gauge,
	samples: [...dispatchers.all()].map(([service, dispatched]) => ({labels: {service}, value: options.measure(dispatched)})),
});

const describeServices = (dispatchers: ServiceDispatchers): readonly MetricFamily[] => [
	byService(dispatchers, {name: 'galenakeel_tasks_waiting', help: 'Tasks that wait for a slot.', measure: ({dispatcher}) => dispatcher.waiting()}),
	byService(dispatchers, {name: 'galenakeel_slots_usable', help: 'Slots that this instance may use, its own and borrowed ones.', measure: ({dispatcher}) => dispatcher.ledger.usable()}),
	byService(dispatchers, {name: 'galenakeel_slots_busy', help: 'Slots that run a task of this instance.', measure: ({dispatcher}) => dispatcher.ledger.busy()}),
	byService(dispatchers, {name: 'galenakeel_slots_free', help: 'Slots that this instance may use and that are free.', measure: ({dispatcher}) => dispatcher.ledger.free()}),
];

const describeEventLoop = (delay: IntervalHistogram, resolutionMilliseconds: number): MetricFamily => ({
	name: 'galenakeel_event_loop_delay_seconds',
	help: 'Delay of the event loop since the last reading.',
	type: MetricType.Gauge,
	samples: percentiles.map((percentile): MetricSample => ({
		labels: {quantile: quantileLabel(percentile)},
		value: Math.max(0, (delay.percentile(percentile) / nanosecondsInSecond) - (resolutionMilliseconds / 1000)),
	})),
});

const describeProcess = (): readonly MetricFamily[] => {
	const {user, system} = process.cpuUsage();
	const {rss, heapUsed, external} = process.memoryUsage();
	return [
		single('process_cpu_seconds_total', 'Processor time of the process.', (user + system) / microsecondsInSecond, MetricType.Counter),
		single('process_resident_memory_bytes', 'Resident memory of the process.', rss),
		single('galenakeel_heap_used_bytes', 'JavaScript heap in use.', heapUsed),
		single('galenakeel_external_memory_bytes', 'Memory of buffers outside the heap.', external),
	];
};

/**
Sources of the gauge values.
*/
export type GaugeSources = {
	readonly dispatchers: ServiceDispatchers;
	readonly eventLoopDelay: IntervalHistogram;
	/** Sampling interval of the event loop delay. It is subtracted, because the histogram measures the whole interval. */
	readonly delayResolutionMilliseconds: number;
	readonly claimTransactions: () => number;
	readonly catalogueVersion: () => number;
	readonly callerConnections: () => number;
	readonly endpointConnections: () => number;
	readonly unanswered: () => number;
	readonly reachablePeers: () => number;
	readonly records: () => number;
};

/**
Reads the metrics that are sampled when they are scraped: gauges, and counters kept by other modules. Resets the event loop delay, so that each reading covers the time since the one before.
*/
export const readGauges = (sources: GaugeSources): readonly MetricFamily[] => {
	const families = [
		...describeServices(sources.dispatchers),
		single('galenakeel_claim_transactions_total', 'Transactions with claims sent to the platform.', sources.claimTransactions(), MetricType.Counter),
		single('galenakeel_catalogue_version', 'Version of the catalogue in force.', sources.catalogueVersion()),
		single('galenakeel_caller_connections', 'Open connections of callers.', sources.callerConnections()),
		single('galenakeel_endpoint_connections', 'Open connections to endpoints.', sources.endpointConnections()),
		single('galenakeel_unanswered_submissions', 'Jobs without an answer.', sources.unanswered()),
		single('galenakeel_peers_reachable', 'Entry instances that are heard.', sources.reachablePeers()),
		single('galenakeel_records', 'Requests and jobs of which a record is kept.', sources.records()),
		describeEventLoop(sources.eventLoopDelay, sources.delayResolutionMilliseconds),
		...describeProcess(),
	];
	sources.eventLoopDelay.reset();
	return families;
};
