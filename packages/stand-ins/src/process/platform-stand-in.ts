import {setTimeout as sleep} from 'node:timers/promises';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {
	ListedInstance, TableCondition, TableRow, TableWrite,
} from '@galenakeel/model/connection/platform-client.js';
import {parseJson} from '@galenakeel/model/connection/json.js';
import {listen, readText, writeJson} from '../connection/http-json.js';

/**
Faults of the stand-in at present.
*/
export type PlatformFaults = {
	/** No call is answered: the connection of each call is destroyed. */
	isDown: boolean;
	/** Delay of each call. */
	delayMilliseconds: number;
	/** Number of further transactions that are committed but not answered: the connection is destroyed. */
	lostAnswers: number;
};

/**
Which reads at an address return the rows as of the moment when this was set, like a lagging replica.
*/
export enum StaleReads {
	/** All reads return the present rows. */
	None = 'none',
	/** Scans are stale, reads by key are not. */
	Scans = 'scans',
	/** All reads are stale. */
	All = 'all',
}

/**
Maps the instances listed at one address, so that the clients of that address reach the instances through proxies of their own.
*/
export type ListView = (instance: ListedInstance) => ListedInstance;

/**
A running stand-in of the platform: table, object store and instance list.
*/
export type PlatformStandIn = {
	readonly address: string;
	readonly faults: PlatformFaults;
	/** Replaces the instance list after the lag. */
	readonly setInstances: (instances: readonly ListedInstance[]) => void;
	/** The instance list at present, without overrides and views. */
	readonly listed: () => readonly ListedInstance[];
	/** Overrides the list returned at one address, as a lagging replica would; `undefined` removes the override. */
	readonly overrideList: (address: string, instances: readonly ListedInstance[] | undefined) => void;
	/** Number of table calls, by kind. */
	readonly counts: {transactions: number; reads: number};
	readonly rows: () => readonly TableRow[];
	/** Serves the same platform at another address, with the instance list mapped by a function. */
	readonly addView: (address: string, view: ListView) => Promise<void>;
	/** Makes the reads at one address stale as of now, or current again. */
	readonly setStaleReads: (address: string, reads: StaleReads) => void;
	readonly close: () => void;
};

type StaleRows = {readonly reads: StaleReads; readonly rows: ReadonlyMap<string, TableRow>};

const syncedWriteMilliseconds = 3;

/**
Starts an in-memory stand-in of the platform.

@param options.listLagMilliseconds Time until a change of instances appears in the list.
*/
export const startPlatformStandIn = async (address: string, options: {listLagMilliseconds: number}): Promise<PlatformStandIn> => {
	const rows = new Map<string, TableRow>();
	const objects = new Map<string, string>();
	const staleRows = new Map<string, StaleRows>();
	const overridden = new Map<string, readonly ListedInstance[]>();
	let instances: readonly ListedInstance[] = [];
	let version = 0;
	const counts = {transactions: 0, reads: 0};
	const faults: PlatformFaults = {
		isDown: false, delayMilliseconds: 0, lostAnswers: 0,
	};

	const rowsVisibleAt = (address: string, isScan: boolean): ReadonlyMap<string, TableRow> => {
		const stale = staleRows.get(address);
		return stale && (isScan || stale.reads === StaleReads.All) ? stale.rows : rows;
	};

	const commit = (conditions: readonly TableCondition[], writes: readonly TableWrite[]): string | undefined => {
		const unmetCondition = conditions.find(condition => (rows.get(condition.key)?.version ?? 0) !== condition.version);
		if (unmetCondition) {
			return unmetCondition.key;
		}

		for (const {key, value} of writes) {
			version++;
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, {key, value, version});
			}
		}

		return undefined;
	};

	const transact = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const {conditions, writes} = parseJson<{conditions: TableCondition[]; writes: TableWrite[]}>(await readText(request));
		counts.transactions++;
		await sleep(syncedWriteMilliseconds);
		const refusedKey = commit(conditions, writes);
		if (faults.lostAnswers > 0) {
			faults.lostAnswers--;
			response.destroy();
		} else if (refusedKey === undefined) {
			writeJson(response, 200, {});
		} else {
			writeJson(response, 409, {key: refusedKey});
		}
	};

	const scan = async (request: IncomingMessage, response: ServerResponse, at: string): Promise<void> => {
		const {prefix, limit, after} = parseJson<{prefix: string; limit: number; after: string}>(await readText(request));
		counts.reads++;
		const found = [...rowsVisibleAt(at, true).values()].filter(row => row.key.startsWith(prefix) && row.key > after);
		writeJson(response, 200, found.toSorted((first, second) => first.key < second.key ? -1 : 1).slice(0, limit));
	};

	const read = async (request: IncomingMessage, response: ServerResponse, at: string): Promise<void> => {
		const {keys} = parseJson<{keys: string[]}>(await readText(request));
		counts.reads++;
		writeJson(response, 200, keys.map(key => rowsVisibleAt(at, false).get(key)).filter(row => row !== undefined));
	};

	const serveObject = async (request: IncomingMessage, response: ServerResponse, key: string): Promise<void> => {
		if (request.method === 'PUT') {
			const {value} = parseJson<{value: string}>(await readText(request));
			objects.set(key, value);
			writeJson(response, 200, {});
			return;
		}

		const value = objects.get(key);
		writeJson(response, value === undefined ? 404 : 200, {value});
	};

	const serve = async (request: IncomingMessage, response: ServerResponse, at: string, view: ListView): Promise<void> => {
		if (faults.isDown) {
			request.socket.destroy();
			return;
		}

		await sleep(faults.delayMilliseconds);
		switch (request.url ?? '') {
			case '/table/transact': {
				return transact(request, response);
			}

			case '/table/read': {
				return read(request, response, at);
			}

			case '/table/scan': {
				return scan(request, response, at);
			}

			case '/instances': {
				writeJson(response, 200, (overridden.get(at) ?? instances).map(instance => view(instance)));
				return undefined;
			}

			default: {
				return serveObject(request, response, decodeURIComponent(request.url!.replace('/objects/', '')));
			}
		}
	};

	const servers: Server[] = [];
	const addView = async (viewAddress: string, view: ListView): Promise<void> => {
		servers.push(await listen(viewAddress, async (request, response) => serve(request, response, viewAddress, view)));
	};

	await addView(address, instance => instance);
	return {
		address,
		faults,
		counts,
		addView,
		rows: () => [...rows.values()],
		listed: () => instances,
		overrideList(viewAddress, list) {
			if (list) {
				overridden.set(viewAddress, list);
			} else {
				overridden.delete(viewAddress);
			}
		},
		setStaleReads(viewAddress, reads) {
			if (reads === StaleReads.None) {
				staleRows.delete(viewAddress);
			} else {
				staleRows.set(viewAddress, {reads, rows: new Map(rows)});
			}
		},
		setInstances(next) {
			setTimeout(() => {
				instances = next;
			}, options.listLagMilliseconds);
		},
		close() {
			for (const server of servers) {
				server.close();
				server.closeAllConnections();
			}
		},
	};
};
