import {parseJson} from '@galenakeel/model/connection/json.js';
import type {ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import {callDaemon} from './daemon-call.js';

/**
One step of a request's way, or several alike of a job's tasks.
*/
export type ShownStep = {
	/** Time since the start of the record, in milliseconds. */
	readonly at: number;
	readonly kind: string;
	readonly endpoint?: string;
	readonly detail?: string;
	/** How many steps alike this entry stands for; absent for one. */
	readonly count?: number;
};

/**
What an instance remembers of a recent request or job.
*/
export type ShownRecord = {
	readonly identifier: string;
	readonly instance: string;
	readonly service: string;
	/** Time of the start, as an ISO 8601 text. */
	readonly startedAt: string;
	/** Absent while there is no answer. */
	readonly outcome?: string;
	readonly fault?: string;
	readonly detail?: string;
	readonly steps: readonly ShownStep[];
};

/**
What the instances know of an identifier.
*/
export type RecordSearch = {
	readonly records: readonly ShownRecord[];
	/** Instances that did not answer; they may know more. */
	readonly unreachable: readonly string[];
};

const found = 200;
const notFound = 404;

const readRecord = async (entry: ListedInstance, identifier: string, callMilliseconds: number): Promise<ShownRecord | 'none' | 'unreachable'> => {
	try {
		const {status, text} = await callDaemon(entry.operators ?? '', {method: 'GET', path: `/v1/records/${encodeURIComponent(identifier)}`}, callMilliseconds);
		if (status === found) {
			return parseJson<ShownRecord>(text);
		}

		return status === notFound ? 'none' : 'unreachable';
	} catch {
		return 'unreachable';
	}
};

/**
Asks every listed entry instance what it remembers of a request or job.

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
