import {Buffer} from 'node:buffer';
import {serveJson} from './second-http.mjs';

const expiryCheckMilliseconds = 10;
const maximumRows = 500;

/**
A stand-in of the platform's table store (PROTOCOL.md, "The platform's metadata store" and "Service discovery"). Each daemon gets an address of its own, so that the script knows who calls.

@param heartbeatMilliseconds `HeartbeatMs`: an entry is removed after three such intervals without a heartbeat.
*/
export const createStore = ({heartbeatMilliseconds = 1500, onRead} = {}) => {
	const rows = new Map();
	const heartbeats = new Map();
	const waiting = new Set();
	const servers = [];
	const startedAt = performance.now();
	let version = 0;

	const nameOf = (table, part, key) => JSON.stringify([table, part, key]);
	const stamp = () => ({Ver: version, NowMs: Math.round(performance.now() - startedAt)});

	const write = (table, part, key, value) => {
		rows.set(nameOf(table, part, key), {
			Table: table, part, Key: key, Value: value ?? '', Ver: version, ...(value === undefined && {Deleted: true}),
		});
	};

	const wake = () => {
		for (const check of waiting) {
			check();
		}
	};

	const put = (table, key, value) => {
		version++;
		write(table, '', key, Buffer.from(JSON.stringify(value)).toString('base64'));
		wake();
	};

	const remove = (table, key) => {
		version++;
		write(table, '', key, undefined);
		wake();
	};

	const timer = setInterval(() => {
		const now = performance.now();
		for (const [key, {at}] of heartbeats) {
			if (now - at > 3 * heartbeatMilliseconds) {
				heartbeats.delete(key);
				remove('servers', key);
			}
		}
	}, expiryCheckMilliseconds);

	const transact = ({Expected = [], Puts = [], Remove = []}, reply) => {
		const isMet = Expected.every(({Table, part, Key, Ver}) => {
			const row = rows.get(nameOf(Table, part, Key));
			return (row && !row.Deleted ? row.Ver : 0) === Ver;
		});
		if (!isMet) {
			reply(412, {rows: Expected.map(({Table, part, Key}) => rows.get(nameOf(Table, part, Key))).filter(Boolean), ...stamp()});
			return;
		}

		version++;
		for (const {Table, part, Key, Value} of Puts) {
			write(Table, part, Key, Value);
		}

		for (const {Table, part, Key} of Remove) {
			write(Table, part, Key, undefined);
		}

		reply(200, stamp());
		wake();
	};

	const feed = (query, reply) => {
		const after = Number(query.get('After'));
		const until = performance.now() + Number(query.get('WaitMs') ?? 0);
		const check = isOver => {
			const changed = [...rows.values()].filter(row => row.Table === query.get('Table') && row.Ver > after);
			if (changed.length > 0 || isOver) {
				waiting.delete(check);
				clearTimeout(timeout);
				reply(200, {rows: changed.toSorted((first, second) => first.Ver - second.Ver), ...stamp()});
			}
		};

		const timeout = setTimeout(() => {
			check(true);
		}, Math.max(0, until - performance.now()));
		waiting.add(check);
		check(false);
	};

	const answer = (caller, request, body, reply) => {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		switch (pathname) {
			case '/rows-tx': {
				transact(body, reply);

				break;
			}

			case '/rows-get': {
				const found = [...rows.values()]
					.filter(row => row.Table === searchParams.get('Table') && row.part === (searchParams.get('part') ?? '') && !row.Deleted && row.Key >= (searchParams.get('Source') ?? ''))
					.toSorted((first, second) => first.Key < second.Key ? -1 : 1);
				onRead?.(caller, searchParams.get('Table'), found.map(({Key}) => Key));
				reply(200, {rows: found.slice(0, maximumRows), HasMore: found.length > maximumRows, ...stamp()});

				break;
			}

			case '/rows-feed': {
				feed(searchParams, reply);

				break;
			}

			default: {
				reply(404, {});
			}
		}
	};

	return {
		put,
		remove,
		/** Serves one daemon at an address of its own; an answer takes 4 ms. */
		async listen(host, port, caller) {
			servers.push(await serveJson(host, port, (request, body, reply) => {
				setTimeout(() => {
					answer(caller, request, body, reply);
				}, 4);
			}));
		},
		/** A runner writes its entry. */
		beat(key, entry) {
			heartbeats.set(key, {at: performance.now()});
			put('servers', key, entry);
		},
		close() {
			clearInterval(timer);
			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
};
