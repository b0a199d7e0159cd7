import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen, readText, writeJson} from '../connection/http-json.js';

/**
A row of the stand-in's tables.
*/
export type StoredRow = {
	readonly Table: string;
	readonly part: string;
	readonly Key: string;
	readonly Value: string;
	readonly Ver: number;
	readonly Deleted?: boolean;
};

/**
Faults of the store.
*/
export enum StoreFault {
	/** Answers correctly. */
	None = 'none',
	/** Answers status 503 without executing the call. */
	Busy = 'busy',
	/** Neither executes nor answers calls. */
	Silent = 'silent',
	/** Executes transactions but closes the connection without an answer. */
	LostAnswers = 'lost-answers',
	/** Answers feed calls with status 410: the history of changes is gone. */
	NoHistory = 'no-history',
}

/**
An in-memory stand-in of the platform's table store.
*/
export type TableStoreStandIn = {
	readonly address: string;
	fault: StoreFault;
	/** Writes a row unconditionally, as the platform or its operators do. */
	readonly put: (table: string, key: string, value: unknown) => void;
	/** Marks a row as deleted. */
	readonly remove: (table: string, key: string) => void;
	readonly rows: (table: string) => readonly StoredRow[];
	readonly close: () => void;
};

type RowName = Pick<StoredRow, 'Table' | 'part' | 'Key'>;
type Transaction = {
	readonly Expected?: ReadonlyArray<RowName & {readonly Ver: number}>;
	readonly Puts?: ReadonlyArray<RowName & {readonly Value: string}>;
	readonly Remove?: readonly RowName[];
};

const pollMilliseconds = 5;
const maximumRows = 500;
const nameOf = ({Table, part, Key}: RowName): string => JSON.stringify([Table, part, Key]);

/**
Starts an empty store.

@example
```
const store = await startTableStoreStandIn('127.0.0.1:8169');
store.put('op', 'config', configuration);
```
*/
export const startTableStoreStandIn = async (address: string): Promise<TableStoreStandIn> => {
	const rows = new Map<string, StoredRow>();
	const startedAt = performance.now();
	let version = 0;

	const write = (name: RowName, value: string | undefined): void => {
		rows.set(nameOf(name), {
			Table: name.Table, part: name.part, Key: name.Key, Value: value ?? '', Ver: version, ...(value === undefined && {Deleted: true}),
		});
	};

	const versionAndTime = (): {readonly Ver: number; readonly NowMs: number} => ({Ver: version, NowMs: Math.round(performance.now() - startedAt)});

	const transact = (response: ServerResponse, {Expected = [], Puts = [], Remove = []}: Transaction): void => {
		const isMet = Expected.every(expected => {
			const row = rows.get(nameOf(expected));
			return (row && !row.Deleted ? row.Ver : 0) === expected.Ver;
		});
		if (!isMet) {
			writeJson(response, 412, {rows: Expected.flatMap(expected => rows.get(nameOf(expected)) ?? []), ...versionAndTime()});
			return;
		}

		version++;
		for (const put of Puts) {
			write(put, put.Value);
		}

		for (const removed of Remove) {
			write(removed, undefined);
		}

		writeJson(response, 200, versionAndTime());
	};

	const get = (response: ServerResponse, query: URLSearchParams): void => {
		const found = [...rows.values()]
			.filter(row => row.Table === query.get('Table') && row.part === (query.get('part') ?? '') && !row.Deleted && row.Key >= (query.get('Source') ?? ''))
			.toSorted((first, second) => first.Key < second.Key ? -1 : 1);
		writeJson(response, 200, {rows: found.slice(0, maximumRows), HasMore: found.length > maximumRows, ...versionAndTime()});
	};

	const feed = async (response: ServerResponse, query: URLSearchParams): Promise<void> => {
		const until = performance.now() + Number(query.get('WaitMs') ?? 0);
		for (;;) {
			const after = Number(query.get('After'));
			const changed = version > after ? [...rows.values()].filter(row => row.Table === query.get('Table') && row.Ver > after) : [];
			if (changed.length > 0 || performance.now() >= until) {
				writeJson(response, 200, {rows: changed.toSorted((first, second) => first.Ver - second.Ver), ...versionAndTime()});
				return;
			}

			await sleep(pollMilliseconds);
		}
	};

	const server = await listen(address, async (request, response) => {
		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://store');
		const text = await readText(request);
		if (standIn.fault === StoreFault.Silent) {
			return;
		}

		if (standIn.fault === StoreFault.Busy) {
			writeJson(response, 503, {});
		} else if (pathname === '/rows-tx') {
			if (standIn.fault === StoreFault.LostAnswers) {
				response.destroy();
			}

			transact(response, JSON.parse(text) as Transaction);
		} else if (pathname === '/rows-get') {
			get(response, searchParams);
		} else if (standIn.fault === StoreFault.NoHistory) {
			writeJson(response, 410, versionAndTime());
		} else {
			await feed(response, searchParams);
		}
	});

	const standIn: TableStoreStandIn = {
		address,
		fault: StoreFault.None,
		put(table, key, value) {
			version++;
			write({Table: table, part: '', Key: key}, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove(table, key) {
			version++;
			write({Table: table, part: '', Key: key}, undefined);
		},
		rows: table => [...rows.values()].filter(row => row.Table === table && !row.Deleted),
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
	return standIn;
};
