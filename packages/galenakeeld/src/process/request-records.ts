import {performance} from 'node:perf_hooks';
import {RecordStepKind, type RecordStep, type RequestRecord} from '@galenakeel/model/process/request-record.js';
import type {ObservedEnd, ObservedStep, RequestObserver} from '../request/request-observer.js';

const maximumSteps = 200;
const estimatedRecordBytes = 400;
const estimatedStepBytes = 160;

type StepTally = {at: number; lastAt: number; count: number; readonly kind: RecordStepKind; readonly endpoint: string; readonly detail: string};

type KeptRecord = {
	readonly identifier: string;
	readonly service: string;
	readonly startedAt: number;
	readonly monotonicStart: number;
	readonly steps: Map<string, StepTally>;
	bytes: number;
	durationMilliseconds?: number;
	end?: ObservedEnd;
};

/**
Records of the most recent requests and jobs of this instance, shown by `galenakeel explain`.
*/
export type RequestRecords = {
	/** Starts a record and evicts the oldest ones if a limit is exceeded. */
	readonly open: (identifier: string, service: string) => RequestObserver;
	/** Returns the latest record of an identifier; `undefined` when there is none. */
	readonly find: (identifier: string) => RequestRecord | undefined;
	/** Records that a repeated submission joined the one with the same identifier. */
	readonly noteRepeat: (identifier: string) => void;
	readonly size: () => number;
	readonly bytes: () => number;
};

const describeStep = ({at, lastAt, count, kind, endpoint, detail}: StepTally): RecordStep => ({
	at,
	kind,
	...(endpoint !== '' && {endpoint}),
	...(detail !== '' && {detail}),
	...(count > 1 && {count, lastAt}),
});

const describeRecord = (instance: string, record: KeptRecord): RequestRecord => ({
	identifier: record.identifier,
	instance,
	service: record.service,
	startedAt: new Date(record.startedAt).toISOString(),
	...record.end,
	...(record.durationMilliseconds !== undefined && {durationMilliseconds: record.durationMilliseconds}),
	steps: [...record.steps.values()].map(entry => describeStep(entry)),
});

const textOf = ({fault, detail}: ObservedStep): string => detail ?? fault ?? '';

/**
Creates an empty store of request records, limited in entries and in estimated bytes.

Equal steps are counted in one entry, so that the size of a job's record depends on the number of its endpoints and not of its tasks.

@example
```
const records = createRequestRecords('entry-a1', {entries: 2000, bytes: 4_194_304});
const observer = records.open('sheet-2041', 'paysheet');
observer.note({kind: RecordStepKind.Sent, endpoint: '10.1.2.3:8080'});
observer.end({outcome: Outcome.Complete});
records.find('sheet-2041')?.outcome; // => 'complete'
```
*/
export const createRequestRecords = (instance: string, limits: {entries: number; bytes: number}): RequestRecords => {
	const kept = new Map<string, KeptRecord>();
	let keptBytes = 0;

	const remove = (record: KeptRecord): void => {
		keptBytes -= record.bytes;
		kept.delete(record.identifier);
	};

	const evictOldest = (): void => {
		for (const record of kept.values()) {
			if (kept.size <= limits.entries && keptBytes <= limits.bytes) {
				return;
			}

			remove(record);
		}
	};

	const addBytes = (record: KeptRecord, bytes: number): void => {
		record.bytes += bytes;
		if (kept.get(record.identifier) === record) {
			keptBytes += bytes;
		}
	};

	const addStep = (record: KeptRecord, step: ObservedStep): void => {
		const {kind, endpoint = ''} = step;
		const detail = textOf(step);
		const key = `${kind} ${endpoint} ${detail}`;
		const now = Math.round((performance.now() - record.monotonicStart) * 10) / 10;
		const entry = record.steps.get(key);
		if (entry) {
			entry.count++;
			entry.lastAt = now;
		} else if (record.steps.size < maximumSteps) {
			record.steps.set(key, {
				at: now, lastAt: now, count: 1, kind, endpoint, detail,
			});
			addBytes(record, estimatedStepBytes + detail.length);
		}
	};

	return {
		open(identifier, service) {
			const before = kept.get(identifier);
			if (before) {
				remove(before);
			}

			const record: KeptRecord = {
				identifier, service, startedAt: Date.now(), monotonicStart: performance.now(), steps: new Map(), bytes: 0,
			};
			kept.set(identifier, record);
			addBytes(record, estimatedRecordBytes + identifier.length);
			evictOldest();
			return {
				note(step) {
					addStep(record, step);
				},
				end(end) {
					record.durationMilliseconds = Math.round(performance.now() - record.monotonicStart);
					record.end = end;
					addBytes(record, end.detail?.length ?? 0);
					evictOldest();
				},
			};
		},
		find(identifier) {
			const record = kept.get(identifier);
			return record && describeRecord(instance, record);
		},
		noteRepeat(identifier) {
			const record = kept.get(identifier);
			if (record) {
				addStep(record, {kind: RecordStepKind.Joined});
			}
		},
		size: () => kept.size,
		bytes: () => keptBytes,
	};
};
