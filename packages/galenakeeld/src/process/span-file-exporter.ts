import {createWriteStream} from 'node:fs';
import type {HrTime} from '@opentelemetry/api';
import type {ReadableSpan, SpanExporter} from '@opentelemetry/sdk-trace-node';

const millisecondsInSecond = 1000;
const nanosecondsInMillisecond = 1_000_000;

const toMilliseconds = ([seconds, nanoseconds]: HrTime): number => (seconds * millisecondsInSecond) + (nanoseconds / nanosecondsInMillisecond);

const encodeSpan = (span: ReadableSpan): string => JSON.stringify({
	trace: span.spanContext().traceId,
	span: span.spanContext().spanId,
	...(span.parentSpanContext && {parent: span.parentSpanContext.spanId}),
	name: span.name,
	startedAt: new Date(toMilliseconds(span.startTime)).toISOString(),
	durationMilliseconds: toMilliseconds(span.duration),
	status: span.status.code,
	attributes: {...span.resource.attributes, ...span.attributes},
});

/**
Creates an exporter that appends each span to a file as a JSON line.

@param onError Called when the file can't be written.

@example
```
const exporter = createSpanFileExporter('/tmp/spans.jsonl', error => log.warn(error));
```
*/
export const createSpanFileExporter = (path: string, onError: (error: Error) => void): SpanExporter => {
	const file = createWriteStream(path, {flags: 'a'});
	file.on('error', onError);
	return {
		export(spans, report) {
			file.write(spans.map(span => `${encodeSpan(span)}\n`).join(''), error => {
				report(error ? {code: 1, error} : {code: 0});
			});
		},
		async shutdown() {
			await new Promise<void>(resolve => {
				file.end(resolve);
			});
		},
	};
};
