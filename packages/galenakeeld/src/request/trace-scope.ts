import type {SpanName} from '../process/span-name.js';

/**
Attributes of a span.
*/
export type SpanAttributes = Readonly<Record<string, string | number>>;

/**
A parent for new spans in a trace.
*/
export type TraceScope = {
	/** W3C trace context to pass on; the empty string when the request is not traced here. */
	readonly traceparent: string;
	readonly begin: (name: SpanName, attributes?: SpanAttributes) => TraceSpan;
};

/**
A started span, which can be the parent of further spans.
*/
export type TraceSpan = TraceScope & {
	/** Ends the span; a fault marks it as failed. */
	readonly end: (attributes?: SpanAttributes, fault?: string) => void;
};

/**
Creates the scope of an incoming request from its W3C trace context; the empty string starts a new trace.
*/
export type OpenTrace = (traceparent: string) => TraceScope;
