import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	PlatformOutcome, type Platform, type TableRow, type TransactionResult,
} from '../../connection/platform-client.js';
import {createFault, FaultKind, isFault} from '../../request/fault.js';
import {readCatalogue, type CatalogueRead} from '../catalogue-read.js';
import {changeKey, documentKey} from '../document-rows.js';
import {acceptDocument, readDocument, readHistory} from '../document-store.js';
import {parseServiceDocument} from '../service-document.js';
import {findSharedAddresses} from '../shared-addresses.js';

type StoreWorld = {
	rows: Map<string, TableRow>;
	platform: Platform;
	accepted: number | undefined;
	fault: unknown;
	/** Catalogue version up to which the reader has read. */
	readVersion: number;
	reads: number;
};

const documentText = (service: string, team: string): string => JSON.stringify({
	service, team, endpoints: {'zone-a': [{name: 'worker-1', address: '10.1.0.1:8080'}]},
});

const createTable = (rows: Map<string, TableRow>): Platform => {
	let version = 0;
	return {
		readRows: async keys => keys.map(key => rows.get(key)).filter(row => row !== undefined),
		scanRows: async (prefix, limit, after = '') => [...rows.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((first, second) => first.key < second.key ? -1 : 1)
			.slice(0, limit),
		async transact(conditions, writes) {
			const broken = conditions.find(condition => (rows.get(condition.key)?.version ?? 0) !== condition.version);
			if (broken) {
				return {outcome: PlatformOutcome.Refused, refusedKey: broken.key};
			}

			for (const {key, value} of writes) {
				version++;
				if (value === undefined) {
					rows.delete(key);
				} else {
					rows.set(key, {key, value, version});
				}
			}

			return {outcome: PlatformOutcome.Done};
		},
		listInstances: async () => [],
		readObject: async () => undefined,
		writeObject: async () => PlatformOutcome.Done,
	};
};

const acceptAs = async (platform: Platform, author: string, seenVersion: number): Promise<number> =>
	acceptDocument(platform, {
		text: documentText('paysheet', author), seenVersion, author, nonce: `nonce-of-${author}`,
	});

/** Wraps a platform so that its first transaction takes effect, `afterwards` runs, and the answer is lost. */
const loseFirstAnswer = (platform: Platform, afterwards: () => Promise<void>): Platform => {
	let isLost = false;
	return {
		...platform,
		async transact(conditions, writes): Promise<TransactionResult> {
			const result = await platform.transact(conditions, writes);
			if (isLost) {
				return result;
			}

			isLost = true;
			await afterwards();
			return {outcome: PlatformOutcome.Unknown};
		},
	};
};

const tryAccept = async (world: StoreWorld, platform: Platform, author: string, seenVersion: number): Promise<void> => {
	try {
		world.accepted = await acceptAs(platform, author, seenVersion);
	} catch (error) {
		world.fault = error;
	}
};

Given('a table with the document of "paysheet" by {string}', async function (this: StoreWorld, author: string) {
	this.rows = new Map();
	this.platform = createTable(this.rows);
	await acceptAs(this.platform, author, 0);
});

Given('a table with {int} accepted documents of "paysheet"', async function (this: StoreWorld, count: number) {
	this.rows = new Map();
	this.platform = createTable(this.rows);
	for (let version = 0; version < count; version++) {
		await acceptAs(this.platform, `author-${version}`, version);
	}
});

When('{string} accepts a document, its answer is lost, and {string} replaces it before the table is read back', async function (this: StoreWorld, first: string, second: string) {
	const lossy = loseFirstAnswer(this.platform, async () => {
		await acceptAs(this.platform, second, 2);
	});
	await tryAccept(this, lossy, first, 1);
});

When('{string} accepts a document that is based on version {int}', async function (this: StoreWorld, author: string, seenVersion: number) {
	await tryAccept(this, this.platform, author, seenVersion);
});

When('{string} accepts a document, its answer is lost, and the platform goes down', async function (this: StoreWorld, author: string) {
	let isDown = false;
	const lossy = loseFirstAnswer(this.platform, async () => {
		isDown = true;
	});
	await tryAccept(this, {
		...lossy,
		async readRows(keys) {
			if (isDown) {
				throw createFault(FaultKind.PlatformUnavailable, 'the platform did not answer');
			}

			return lossy.readRows(keys);
		},
	}, author, 1);
});

Then('the document of {string} is accepted as version {int}', function (this: StoreWorld, _author: string, version: number) {
	assert.equal(this.fault, undefined);
	assert.equal(this.accepted, version);
});

Then('the document of {string} is in force as version {int}', async function (this: StoreWorld, author: string, version: number) {
	const current = await readDocument(this.platform, 'paysheet');
	assert.equal(current?.document.team, author);
	assert.equal(current?.version, version);
});

Then('accepting the document fails with {string}', function (this: StoreWorld, kind: FaultKind) {
	assert.ok(isFault(this.fault, kind), String(this.fault));
});

Then('accepting the document fails with {string} and the message {string}', function (this: StoreWorld, kind: FaultKind, text: string) {
	assert.ok(isFault(this.fault, kind), String(this.fault));
	assert.ok(this.fault.message.includes(text), this.fault.message);
});

Then('the history of {string} has versions {int} to {int} in order', async function (this: StoreWorld, service: string, first: number, last: number) {
	const history = await readHistory(this.platform, service);
	assert.deepEqual(history.map(({version}) => version), Array.from({length: last - first + 1}, (_, position) => first + position));
});

Then('a document of {string} with the same endpoint has the address {string} in common with {string}', async function (this: StoreWorld, service: string, address: string, other: string) {
	const current = await readDocument(this.platform, other);
	const shared = findSharedAddresses(parseServiceDocument(documentText(service, 'owners'), service), [current!.document]);
	assert.deepEqual(shared, [{
		address, endpoint: 'worker-1', otherService: other, otherEndpoint: 'worker-1',
	}]);
});

const acceptService = async (platform: Platform, service: string): Promise<number> => {
	const current = await readDocument(platform, service);
	return acceptDocument(platform, {
		text: documentText(service, 'owners'), seenVersion: current?.version ?? 0, author: 'roisin', nonce: `nonce-${service}-${current?.version}`,
	});
};

const readCountingCalls = async (world: StoreWorld): Promise<CatalogueRead> => {
	world.reads = 0;
	const count = <Parameters extends readonly unknown[], Result>(read: (...parameters: Parameters) => Result) => (...parameters: Parameters): Result => {
		world.reads++;
		return read(...parameters);
	};

	return readCatalogue({...world.platform, readRows: count(world.platform.readRows), scanRows: count(world.platform.scanRows)}, world.readVersion);
};

Given('a table with {int} services', async function (this: StoreWorld, count: number) {
	this.rows = new Map();
	this.platform = createTable(this.rows);
	for (let position = 1; position <= count; position++) {
		await acceptService(this.platform, `service-${position}`);
	}
});

Given('a reader that has read the catalogue', async function (this: StoreWorld) {
	this.readVersion = 0;
	({catalogueVersion: this.readVersion} = await readCountingCalls(this));
});

When('the documents of {string} are accepted again', async function (this: StoreWorld, services: string) {
	for (const service of services.split(', ')) {
		await acceptService(this.platform, service);
	}
});

When('the documents of {int} services are accepted again', async function (this: StoreWorld, count: number) {
	for (let position = 1; position <= count; position++) {
		await acceptService(this.platform, `service-${position}`);
	}
});

When('the row of change {int} is missing', function (this: StoreWorld, version: number) {
	assert.ok(this.rows.delete(changeKey(version)));
});

When('a read of the document of {string} returns its earlier version', function (this: StoreWorld, service: string) {
	const row = this.rows.get(documentKey(service))!;
	this.rows.set(row.key, {...row, value: row.value.replace(/"version":\d+/v, '"version":9')});
});

Then('the reader receives {string} up to version {int} in {int} reads', async function (this: StoreWorld, services: string, version: number, reads: number) {
	const {documents, catalogueVersion} = await readCountingCalls(this);
	assert.equal(documents.map(({document}) => document.service).toSorted().join(', '), services);
	assert.deepEqual([catalogueVersion, this.reads], [version, reads]);
});

Then('the reader receives {int} documents up to version {int}', async function (this: StoreWorld, count: number, version: number) {
	const {documents, catalogueVersion} = await readCountingCalls(this);
	assert.deepEqual([documents.length, catalogueVersion], [count, version]);
});

Then('the table has the rows of changes {int} to {int}', function (this: StoreWorld, first: number, last: number) {
	const kept = [...this.rows.keys()].filter(key => key.startsWith('change/')).toSorted();
	assert.deepEqual(kept, Array.from({length: last - first + 1}, (_, position) => changeKey(first + position)));
});
