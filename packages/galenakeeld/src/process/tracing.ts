import {
	ROOT_CONTEXT, SpanStatusCode, trace, type Context, type Tracer,
} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
	BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, TraceIdRatioBasedSampler, type SpanExporter,
} from '@opentelemetry/sdk-trace-node';
import {
	type OpenTrace, type SpanAttributes, type TraceScope, type TraceSpan,
} from '../request/trace-scope.js';
import {openUntraced} from './untraced.js';
import {encodeTraceparent, parseTraceparent} from './traceparent.js';
import type {SpanName} from './span-name.js';

const tracerName = 'galenakeeld';

/**
Tracing of the process.
*/
export type Tracing = {
	readonly openTrace: OpenTrace;
	/** Exports the buffered spans and shuts the exporters down. */
	readonly stop: () => Promise<void>;
};

const prefixAttributes = (attributes: SpanAttributes): SpanAttributes =>
	Object.fromEntries(Object.entries(attributes).map(([name, value]) => [`galenakeel.${name}`, value]));

const beginSpan = (tracer: Tracer, parent: Context, name: SpanName, attributes: SpanAttributes): TraceSpan => {
	const span = tracer.startSpan(name, {attributes: prefixAttributes(attributes)}, parent);
	const context = trace.setSpan(ROOT_CONTEXT, span);
	return {
		traceparent: encodeTraceparent(span.spanContext()),
		begin: (child, childAttributes = {}) => beginSpan(tracer, context, child, childAttributes),
		end(endAttributes = {}, fault = '') {
			span.setAttributes(prefixAttributes(endAttributes));
			if (fault !== '') {
				span.setStatus({code: SpanStatusCode.ERROR, message: fault});
			}

			span.end();
		},
	};
};

const createOpenTrace = (tracer: Tracer): OpenTrace => (traceparent): TraceScope => {
	const remote = parseTraceparent(traceparent);
	const context = remote ? trace.setSpanContext(ROOT_CONTEXT, remote) : ROOT_CONTEXT;
	return {traceparent, begin: (name, attributes = {}) => beginSpan(tracer, context, name, attributes)};
};

/**
Creates the tracing of the process. Without an exporter, or with a ratio of 0, no spans are created.

A request with a trace context follows the sampling decision of its caller; other requests are sampled by the ratio.

@param options.resource Resource attributes of all spans.

@example
```
const tracing = createTracing({samplingRatio: 0.01, exporters: [createOtlpExporter(url)], resource: {'service.instance.id': 'entry-a1'}});
const span = tracing.openTrace('').begin(SpanName.CallerRequest);
```
*/
export const createTracing = (options: {samplingRatio: number; exporters: readonly SpanExporter[]; resource: Readonly<Record<string, string>>}): Tracing => {
	if (options.samplingRatio === 0 || options.exporters.length === 0) {
		return {
			openTrace: openUntraced, async stop() {
			// No spans are buffered.
			},
		};
	}

	const provider = new NodeTracerProvider({
		sampler: new ParentBasedSampler({root: new TraceIdRatioBasedSampler(options.samplingRatio)}),
		spanProcessors: options.exporters.map(exporter => new BatchSpanProcessor(exporter)),
		resource: resourceFromAttributes(options.resource),
	});
	return {
		openTrace: createOpenTrace(provider.getTracer(tracerName)),
		async stop() {
			await provider.shutdown();
		},
	};
};

/**
Creates an exporter that sends spans to a URL by OTLP over HTTP.
*/
export const createOtlpExporter = (url: string): SpanExporter => new OTLPTraceExporter({url});
