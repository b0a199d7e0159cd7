import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {SpanExporter} from '@opentelemetry/sdk-trace-node';
import type {Observe} from '../request/request-observer.js';
import {readGauges, type GaugeSources} from './daemon-gauges.js';
import type {DaemonSettings} from './daemon-settings.js';
import type {Incarnation} from './incarnation.js';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';
import {createMetrics, type Metrics} from './metrics.js';
import {createObserve} from './observe-requests.js';
import {encodeMetrics} from './prometheus-text.js';
import {createRequestRecords, type RequestRecords} from './request-records.js';
import {createSpanFileExporter} from './span-file-exporter.js';
import {createOtlpExporter, createTracing, type Tracing} from './tracing.js';

const delayResolutionMilliseconds = 50;

// Attribute names from OpenTelemetry's semantic conventions.
const serviceNameAttribute = 'service.name';
const instanceAttribute = 'service.instance.id';
const zoneAttribute = 'cloud.availability_zone';

/**
Observability of the daemon: metrics, request records and traces.
*/
export type Observation = {
	readonly metrics: Metrics;
	readonly records: RequestRecords;
	readonly tracing: Tracing;
	readonly observe: Observe;
	/** Creates an identifier for a single request that was sent without one. */
	readonly createRequestIdentifier: () => string;
	/** Reads all metrics and encodes them in the Prometheus text format. */
	readonly readMetrics: () => string;
	readonly stop: () => Promise<void>;
};

const createExporters = ({otlpUrl, file}: DaemonSettings['traces'], log: Log): readonly SpanExporter[] => [
	...(otlpUrl === undefined ? [] : [createOtlpExporter(otlpUrl)]),
	...(file === undefined
		? []
		: [createSpanFileExporter(file, error => {
			log.error({event: LogEvent.TraceExportFailed, detail: error.message}, 'spans can\'t be written to the trace file; check traces.file in the settings');
		})]),
];

/**
Creates the metrics, request records and tracing of a daemon.

@param options.isKnown Tells whether a document in force names a service.
@param options.sources Returns the sources of the gauge values; called each time the metrics are read.
*/
export const createObservation = (options: {
	readonly self: Incarnation;
	readonly settings: DaemonSettings;
	readonly log: Log;
	readonly isKnown: (service: string) => boolean;
	readonly sources: () => Omit<GaugeSources, 'eventLoopDelay' | 'delayResolutionMilliseconds' | 'records'>;
}): Observation => {
	const {self, settings, log} = options;
	const metrics = createMetrics();
	const records = createRequestRecords(self.instance, {entries: settings.records.entries, bytes: settings.records.maximumBytes});
	const tracing = createTracing({
		samplingRatio: settings.traces.samplingRatio,
		exporters: createExporters(settings.traces, log),
		resource: {[serviceNameAttribute]: 'galenakeeld', [instanceAttribute]: self.instance, [zoneAttribute]: self.zone},
	});
	const eventLoopDelay = monitorEventLoopDelay({resolution: delayResolutionMilliseconds});
	eventLoopDelay.enable();
	let requests = 0;
	return {
		metrics,
		records,
		tracing,
		observe: createObserve({
			records, metrics, log, isKnown: options.isKnown,
		}),
		createRequestIdentifier() {
			requests++;
			return `r~${self.instance}~${self.incarnation}~${requests}`;
		},
		readMetrics: () => encodeMetrics([
			...metrics.families(),
			...readGauges({
				...options.sources(), eventLoopDelay, delayResolutionMilliseconds, records: records.size,
			}),
		]),
		async stop() {
			eventLoopDelay.disable();
			await tracing.stop();
		},
	};
};
