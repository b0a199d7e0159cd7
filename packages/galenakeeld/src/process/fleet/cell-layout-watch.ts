import type {StoreCalls} from '@galenakeel/model/connection/store-calls.js';
import {
	allCells, cellCountFor, cellsOfZone, isCellCount, type CellCounts,
} from './cell-layout.js';
import type {TryStore} from './store-watches.js';

/**
Into how many cells each zone is divided. The first daemon of a zone decides it and stores it; it never changes.
*/
export type CellLayoutWatch = {
	readonly counts: () => CellCounts;
	/** Names of the known cells of all zones. */
	readonly cells: () => readonly string[];
	/** Names of the cells of a zone; empty while their number is unknown. */
	readonly cellsOf: (zone: string) => readonly string[];
	/** Records the numbers that a peer knows. */
	readonly offer: (counts: CellCounts) => void;
	/** Reads the numbers from the store, and stores the missing ones, until all are known or the daemon leaves. */
	readonly run: () => Promise<void>;
};

export type CellLayoutWatchOptions = {
	readonly store: Pick<StoreCalls, 'listEndpoints' | 'readCellCounts' | 'createCellCount'>;
	readonly tryStore: TryStore;
	readonly leaving: AbortSignal;
	/** Zone of this daemon. */
	readonly zone: string;
	readonly zones: readonly string[];
	readonly onInstall: (counts: CellCounts) => void;
};

const pollMilliseconds = 250;
/** Polls after which the interval is longer: a zone without endpoints stays undivided for long. */
const frequentPolls = 40;
const slowPollMilliseconds = 2000;
/** Number of equal lists in a row after which the endpoints of a zone count as complete. */
const steadyLists = 3;
/** The same for a zone other than the daemon's own, whose daemons may start later. */
const steadyListsOfOtherZones = 24;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/**
Creates the watch, with no number known.

@example
```
const layout = createCellLayoutWatch(options);
void layout.run();
layout.cellsOf('north'); // => ['north/0', 'north/1']
```
*/
export const createCellLayoutWatch = (options: CellLayoutWatchOptions): CellLayoutWatch => {
	const {store, tryStore, zone: ownZone, zones} = options;
	let counts: CellCounts = {};
	/** The number of endpoints of each zone in the last list, and in how many lists in a row. */
	const lists = new Map<string, {readonly endpoints: number; readonly repeats: number}>();

	const offer = (newer: CellCounts): void => {
		const added = Object.entries(newer).filter(([zone, count]) => zones.includes(zone) && counts[zone] === undefined && isCellCount(count));
		if (added.length > 0) {
			counts = {...counts, ...Object.fromEntries(added)};
			options.onInstall(counts);
		}
	};

	const missingZones = (): readonly string[] => zones.filter(zone => counts[zone] === undefined);

	const recordList = (zone: string, endpoints: number): number => {
		const before = lists.get(zone);
		const repeats = before?.endpoints === endpoints ? before.repeats + 1 : 1;
		lists.set(zone, {endpoints, repeats});
		return endpoints > 0 ? repeats : 0;
	};

	const read = async (): Promise<boolean> => {
		const stored = await tryStore('readCellCounts', store.readCellCounts);
		offer(stored ?? {});
		return stored !== undefined;
	};

	/** Stores the number of cells of the zones that have none, once their lists of endpoints no longer change. */
	const decideMissing = async (): Promise<void> => {
		const entries = await tryStore('listEndpoints', store.listEndpoints);
		if (!entries) {
			return;
		}

		for (const zone of missingZones()) {
			const endpoints = entries.filter(entry => entry.zone === zone).length;
			if (recordList(zone, endpoints) >= (zone === ownZone ? steadyLists : steadyListsOfOtherZones)) {
				await tryStore('createCellCount', async () => store.createCellCount(zone, cellCountFor(endpoints)));
				await read();
			}
		}
	};

	return {
		counts: () => counts,
		cells: () => allCells(counts),
		cellsOf(zone) {
			const count = counts[zone];
			return count === undefined ? [] : cellsOfZone(zone, count);
		},
		offer,
		async run() {
			for (let polls = 0; missingZones().length > 0 && !options.leaving.aborted; polls++) {
				if (await read() && missingZones().length > 0) {
					await decideMissing();
				}

				await pause(polls < frequentPolls ? pollMilliseconds : slowPollMilliseconds);
			}
		},
	};
};
