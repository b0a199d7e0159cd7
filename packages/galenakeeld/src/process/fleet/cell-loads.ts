import {performance} from 'node:perf_hooks';
import type {CellLoad, FreeCapacity} from '@galenakeel/model/connection/fleet-message.js';
import type {CellCapacity} from '../cells/admit-job.js';
import type {Claimant} from './cell-claims.js';
import type {FleetView} from './fleet-view.js';

/**
Loads of other cells, as reported by their owners.
*/
export type CellLoads = {
	/** Free capacity of the other cells, minus the jobs that were redirected there since the last report of their owners. */
	readonly otherCellCapacities: (own: string) => readonly CellCapacity[];
	/** Records that a job was redirected to a cell, with the processor capacity that it needs there, in thousandths of a core. */
	readonly recordRedirect: (cell: string, processor: number) => void;
	readonly recordLoad: (cell: string, load: CellLoad) => void;
	/** Ratio of expected to estimated run time by kind of endpoint, as last reported for the cell. Kinds that the cell has not reported are taken from other cells. */
	readonly kindFactors: (cell: string) => Readonly<Record<string, number>>;
};

/**
Subtracts processor capacity from the free capacity, starting with the fastest endpoints, because tasks that are on time are placed on these.
*/
export const subtractSentProcessor = (free: readonly FreeCapacity[], sent: number): readonly FreeCapacity[] => {
	let remaining = sent;
	return free.toSorted((first, second) => first.factor - second.factor).map(capacity => {
		const subtracted = Math.min(remaining, capacity.processor);
		remaining -= subtracted;
		return {...capacity, processor: capacity.processor - subtracted};
	});
};

export type CellLoadsOptions = {
	/** Names of the known cells of all zones. */
	readonly cells: () => readonly string[];
	readonly view: Pick<FleetView, 'get'>;
	/** The daemon that owns a cell. */
	readonly claimantOf: (cell: string) => Pick<Claimant, 'address'> | undefined;
};

/** Time after which the load of a cell is expected to show a job that was redirected there, also if it has not changed. */
const sentJobMilliseconds = 2000;

type SentJob = {readonly at: number; readonly processor: number};

/**
Creates the loads, with nothing reported yet.

@example
```
const loads = createCellLoads({cells: layout.cells, view, claimantOf: owners.claimantOf});
loads.otherCellCapacities('ie-south-a/0');
```
*/
export const createCellLoads = ({cells, view, claimantOf}: CellLoadsOptions): CellLoads => {
	const sent = new Map<string, readonly SentJob[]>();
	const factors = new Map<string, Readonly<Record<string, number>>>();

	const sentSince = (cell: string, updatedAt: number): number => {
		const since = Math.max(updatedAt, performance.now() - sentJobMilliseconds);
		const recent = (sent.get(cell) ?? []).filter(({at}) => at > since);
		sent.set(cell, recent);
		let total = 0;
		for (const {processor} of recent) {
			total += processor;
		}

		return total;
	};

	return {
		otherCellCapacities: own => cells().filter(cell => cell !== own).flatMap(cell => {
			const owner = view.get(claimantOf(cell)?.address ?? '');
			const load = owner?.loads.get(cell);
			return load ? [{cell, free: subtractSentProcessor(load.free, sentSince(cell, owner!.loadsUpdatedAt)), waitMilliseconds: load.backlogMilliseconds}] : [];
		}),
		recordRedirect(cell, processor) {
			sent.set(cell, [...sent.get(cell) ?? [], {at: performance.now(), processor}]);
		},
		recordLoad(cell, load) {
			factors.set(cell, load.kindFactors);
		},
		kindFactors: cell => Object.assign({}, ...factors.values(), factors.get(cell)) as Readonly<Record<string, number>>,
	};
};
