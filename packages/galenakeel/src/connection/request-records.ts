import {parseJson} from '@galenakeel/model/connection/json.js';
import type {ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import type {RequestRecord} from '@galenakeel/model/process/request-record.js';
import {callDaemon} from './daemon-call.js';

/**
The records of the entry instances for one identifier.
*/
export type RecordSearch = {
	readonly records: readonly RequestRecord[];
	/** Names of the instances that did not return a usable answer; they may have further records. */
	readonly unreachable: readonly string[];
};

const found = 200;
const notFound = 404;

const readRecord = async (entry: ListedInstance, identifier: string, callMilliseconds: number): Promise<RequestRecord | 'none' | 'unreachable'> => {
	try {
		const {status, text} = await callDaemon(entry.operators ?? '', {method: 'GET', path: `/v1/records/${encodeURIComponent(identifier)}`}, callMilliseconds);
		if (status === found) {
			return parseJson<RequestRecord>(text);
		}

		return status === notFound ? 'none' : 'unreachable';
	} catch {
		return 'unreachable';
	}
};

/**
Requests the records of a request or job from the given entry instances, and sorts them by start time.

@example
```
const {records, unreachable} = await findRecords(entries, 'sheet-2041', 2000);
```
*/
export const findRecords = async (entries: readonly ListedInstance[], identifier: string, callMilliseconds: number): Promise<RecordSearch> => {
	const answers = await Promise.all(entries.map(async entry => ({entry, answer: await readRecord(entry, identifier, callMilliseconds)})));
	const records = answers.flatMap(({answer}) => typeof answer === 'string' ? [] : [answer]);
	return {
		records: records.toSorted((first, second) => first.startedAt.localeCompare(second.startedAt)),
		unreachable: answers.filter(({answer}) => answer === 'unreachable').map(({entry}) => entry.name),
	};
};
