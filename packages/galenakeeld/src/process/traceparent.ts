import {isSpanContextValid, type SpanContext, TraceFlags} from '@opentelemetry/api';

const pattern = /^[\da-f]{2}-(?<traceId>[\da-f]{32})-(?<spanId>[\da-f]{16})-(?<flags>[\da-f]{2})/v;
const hexadecimal = 16;

/**
Parses a W3C trace context (header field `traceparent`). Accepts any version and reads the fields of version 00.

@returns `undefined` when the text is malformed.
*/
export const parseTraceparent = (text: string): SpanContext | undefined => {
	const groups = pattern.exec(text)?.groups;
	if (!groups) {
		return undefined;
	}

	const context: SpanContext = {
		traceId: groups.traceId!, spanId: groups.spanId!, traceFlags: Number.parseInt(groups.flags!, hexadecimal) & TraceFlags.SAMPLED, isRemote: true, // eslint-disable-line no-bitwise -- the flags are a bit field
	};
	return isSpanContextValid(context) ? context : undefined;
};

/**
Encodes the context of a span as a `traceparent` of version 00.

@example
```
encodeTraceparent(span.spanContext()); // => '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01'
```
*/
export const encodeTraceparent = ({traceId, spanId, traceFlags}: SpanContext): string =>
	`00-${traceId}-${spanId}-${traceFlags.toString(hexadecimal).padStart(2, '0')}`;
