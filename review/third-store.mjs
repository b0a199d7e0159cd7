import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {answerJson, readText, serve} from './third-http.mjs';

/** Interval at which a waiting call looks for changes, in milliseconds. */
const lookMilliseconds = 5;
const maximumRows = 500;

const nameOf = ({Table, part = '', Key}) => JSON.stringify([Table, part, Key]);

/**
Starts an empty store of rows that speaks the platform's protocol. It listens at no address until one is opened.

@param host Loopback address on which it listens.
*/
export const startStore = async host => {
	const rows = new Map();
	const startedAt = performance.now();
	let version = 0;

	const stamp = () => ({Ver: version, NowMs: Math.round(performance.now() - startedAt)});

	const write = (name, value) => {
		rows.set(nameOf(name), {
			Table: name.Table, part: name.part ?? '', Key: name.Key, Value: value ?? '', Ver: version, ...(value === undefined && {Deleted: true}),
		});
	};

	const versionOf = name => {
		const row = rows.get(nameOf(name));
		return row && !row.Deleted ? row.Ver : 0;
	};

	const transact = (response, {Expected = [], Puts = [], Remove = []}) => {
		if ([...Puts, ...Remove].some(({Table}) => Table === 'op' || Table === 'servers')) {
			answerJson(response, 403, stamp());
			return;
		}

		if (Expected.some(expected => versionOf(expected) !== expected.Ver)) {
			answerJson(response, 412, {rows: Expected.flatMap(expected => rows.get(nameOf(expected)) ?? []), ...stamp()});
			return;
		}

		version++;
		for (const put of Puts) {
			write(put, put.Value);
		}

		for (const removed of Remove) {
			write(removed, undefined);
		}

		answerJson(response, 200, stamp());
	};

	const get = (response, query) => {
		const from = query.get('Source') ?? '';
		const found = [...rows.values()]
			.filter(row => row.Table === query.get('Table') && row.part === (query.get('part') ?? '') && !row.Deleted && row.Key >= from)
			.toSorted((first, second) => first.Key < second.Key ? -1 : 1);
		answerJson(response, 200, {rows: found.slice(0, maximumRows), HasMore: found.length > maximumRows, ...stamp()});
	};

	const feed = async (response, query) => {
		const after = Number(query.get('After'));
		const until = performance.now() + Number(query.get('WaitMs') ?? 0);
		for (;;) {
			const changed = [...rows.values()].filter(row => row.Table === query.get('Table') && row.Ver > after);
			if (changed.length > 0 || performance.now() >= until) {
				answerJson(response, 200, {rows: changed.toSorted((first, second) => first.Ver - second.Ver), ...stamp()});
				return;
			}

			await sleep(lookMilliseconds);
		}
	};

	const handle = async (request, response) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const text = await readText(request);
		switch (pathname) {
			case '/rows-tx': {
				transact(response, JSON.parse(text));

				break;
			}

			case '/rows-get': {
				get(response, searchParams);

				break;
			}

			case '/rows-feed': {
				await feed(response, searchParams);

				break;
			}

			default: {
				answerJson(response, 404, stamp());
			}
		}
	};

	const servers = [];

	/** Opens another address of the store, with the same rows. */
	const open = async () => {
		const server = await serve(host, handle);
		servers.push(server);
		return server;
	};

	return {
		open,
		/** Writes a row as the operators or the runners do. */
		put(table, key, value) {
			version++;
			write({Table: table, Key: key}, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		close() {
			for (const server of servers) {
				server.close();
			}
		},
	};
};
