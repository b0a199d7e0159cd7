import {performance} from 'node:perf_hooks';
import {RecordStepKind} from '@galenakeel/model/process/request-record.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Observe} from '../request/request-observer.js';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import type {RequestRecords} from './request-records.js';

const unknownService = 'unknown';

/**
Creates a function that starts the observation of a request or job. It updates the request records and metrics, and logs each request that ends without a complete answer.

@param options.isKnown Tells whether a document in force names a service. All other services share one label, because callers choose the name and could create any number of labels.

@example
```
const observe = createObserve({records, metrics, log, isKnown: service => catalogue.versionOf(service) !== undefined});
const observer = observe({kind: ObservedKind.Job, identifier: 'sheet-2041', service: 'paysheet'});
```
*/
export const createObserve = (options: {records: RequestRecords; metrics: Metrics; log: Log; isKnown: (service: string) => boolean}): Observe => ({kind, identifier, service, detail}) => {
	const {records, metrics, log} = options;
	const startedAt = performance.now();
	const label = options.isKnown(service) ? service : unknownService;
	const record = records.open(identifier, service);
	record.note({kind: RecordStepKind.Accepted, ...(detail !== undefined && {detail})});
	return {
		note(step) {
			record.note(step);
			metrics.countStep(label, step);
		},
		end(end) {
			record.end(end);
			metrics.countEnd(kind, label, end, performance.now() - startedAt);
			if (end.outcome !== Outcome.Complete) {
				log.debug({
					event: LogEvent.RequestIncomplete, kind, identifier, service, ...end,
				}, 'a request or job ended without a complete answer');
			}
		},
	};
};
