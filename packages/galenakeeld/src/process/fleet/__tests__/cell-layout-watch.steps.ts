import assert from 'node:assert/strict';
import {
	After, type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {createCellLayoutWatch, type CellLayoutWatch} from '../cell-layout-watch.js';

type WatchWorld = {
	clock: Clock | undefined;
	isStarted: boolean;
	isStoreAvailable: boolean;
	/** Stored numbers by zone. */
	stored: Map<string, number>;
	onCreate: () => void;
	layout: CellLayoutWatch;
	leaving: AbortController;
};

const createEntry = (zone: string, index: number): EndpointEntry => ({
	identifier: `i-${zone}-${index}`, startedAt: 1, service: 'sheets', address: '', zone, isDraining: false, room: {processor: 1000, memoryMegabytes: 1, accelerators: 0}, labels: [],
});

Given('the zones {string} have the endpoints', function (this: WatchWorld, zones: string, table: DataTable) {
	this.clock = install({toFake: ['setTimeout', 'clearTimeout', 'performance', 'Date']});
	this.isStarted = false;
	this.isStoreAvailable = true;
	this.stored = new Map();
	this.onCreate = () => undefined;
	this.leaving = new AbortController();
	const rows = table.raw().map(([zone, ...counts]) => ({zone: zone!, counts: counts.map(Number)}));
	let lists = 0;
	this.layout = createCellLayoutWatch({
		store: {
			async listEndpoints() {
				const list = rows.flatMap(({zone, counts}) => Array.from({length: counts[Math.min(lists, counts.length - 1)]!}, (_, index) => createEntry(zone, index)));
				lists++;
				return list;
			},
			readCellCounts: async () => {
				if (!this.isStoreAvailable) {
					throw new Error('unavailable');
				}

				return Object.fromEntries(this.stored);
			},
			createCellCount: async (zone, count) => {
				this.onCreate();
				if (!this.stored.has(zone)) {
					this.stored.set(zone, count);
				}
			},
		},
		async tryStore(_, perform) {
			try {
				return await perform();
			} catch {
				return undefined;
			}
		},
		leaving: this.leaving.signal,
		zone: 'north',
		zones: zones.split(', '),
		onInstall: () => undefined,
	});
});

After(function (this: WatchWorld) {
	this.leaving?.abort();
	this.clock?.uninstall();
});

Given('the store has {int} cells for {string} already', function (this: WatchWorld, count: number, zone: string) {
	this.stored.set(zone, count);
});

Given('another daemon stores {int} cells for {string} just before this one', function (this: WatchWorld, count: number, zone: string) {
	this.onCreate = () => {
		this.stored.set(zone, count);
	};
});

Given('the store is unavailable', function (this: WatchWorld) {
	this.isStoreAvailable = false;
});

When('the layout is watched for {int} ms', async function (this: WatchWorld, milliseconds: number) {
	if (!this.isStarted) {
		this.isStarted = true;
		void this.layout.run();
	}

	await this.clock!.tickAsync(milliseconds);
});

When('a peer says that {string} has {int} cells', function (this: WatchWorld, zone: string, count: number) {
	this.layout.offer({[zone]: count});
});

Then('the store has {int} cells for {string}', function (this: WatchWorld, count: number, zone: string) {
	assert.equal(this.stored.get(zone), count);
});

Then('the cells are {string}', function (this: WatchWorld, names: string) {
	assert.equal(this.layout.cells().join(', '), names);
});
