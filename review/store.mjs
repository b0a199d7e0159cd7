/**
Stand-in of the platform's store, as PROTOCOL.md describes it ("The platform's metadata store").
*/
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {startJsonServer} from './http.mjs';

const pollMilliseconds = 5;
const answerMilliseconds = 4;
const maximumRows = 500;

const nameOf = ({Table, part, Key}) => JSON.stringify([Table, part ?? '', Key]);

/**
Starts an empty store.
*/
export const startStore = async () => {
	const rows = new Map();
	const startedAt = performance.now();
	let version = 0;

	const present = () => [...rows.values()].filter(row => !row.Deleted);
	const versionAndTime = () => ({Ver: version, NowMs: Math.round(performance.now() - startedAt)});

	const write = (name, value) => {
		rows.set(nameOf(name), {
			Table: name.Table, part: name.part ?? '', Key: name.Key, Value: value ?? '', Ver: version, ...(value === undefined && {Deleted: true}),
		});
	};

	const transact = ({Expected = [], Puts = [], Remove = []}) => {
		const isMet = Expected.every(expected => {
			const row = rows.get(nameOf(expected));
			return (row && !row.Deleted ? row.Ver : 0) === expected.Ver;
		});
		if (!isMet) {
			return {status: 412, body: {rows: Expected.map(expected => rows.get(nameOf(expected))).filter(row => row && !row.Deleted), ...versionAndTime()}};
		}

		version++;
		for (const put of Puts) {
			write(put, put.Value);
		}

		for (const removed of Remove) {
			write(removed, undefined);
		}

		return {status: 200, body: versionAndTime()};
	};

	const get = query => {
		const found = present()
			.filter(({Table, part, Key}) => Table === query.get('Table') && part === (query.get('part') ?? '') && Key >= (query.get('Source') ?? ''))
			.toSorted((first, second) => first.Key < second.Key ? -1 : 1);
		return {status: 200, body: {rows: found.slice(0, maximumRows), HasMore: found.length > maximumRows, ...versionAndTime()}};
	};

	const feed = async query => {
		const until = performance.now() + Number(query.get('WaitMs') ?? 0);
		const after = Number(query.get('After') ?? 0);
		for (;;) {
			const changed = [...rows.values()].filter(({Table, Ver}) => Table === query.get('Table') && Ver > after);
			if (changed.length > 0 || performance.now() >= until) {
				return {status: 200, body: {rows: changed.toSorted((first, second) => first.Ver - second.Ver), ...versionAndTime()}};
			}

			await sleep(pollMilliseconds);
		}
	};

	const server = await startJsonServer(async ({url, body}) => {
		await sleep(answerMilliseconds);
		switch (url.pathname) {
			case '/rows-tx': {
				return transact(body);
			}

			case '/rows-get': {
				return get(url.searchParams);
			}

			case '/rows-feed': {
				return feed(url.searchParams);
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	});

	return {
		address: server.address,
		/** Writes a row as the operator or a runner does. */
		put(table, key, value) {
			version++;
			write({Table: table, part: '', Key: key}, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove(table, key) {
			version++;
			write({Table: table, part: '', Key: key}, undefined);
		},
		close: server.close,
	};
};
