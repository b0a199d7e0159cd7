import {performance} from 'node:perf_hooks';
import type {CellClaim, FreeRoom} from '@galenakeel/model/connection/fleet-message.js';
import type {CellCapacity} from '../cells/admit-job.js';
import {findOwner} from './cell-claims.js';
import type {FleetView} from './fleet-view.js';

/**
What the owners of other cells have told of them.
*/
export type CellLoads = {
	/** Room of the other cells, less what was sent there since their owners last described them. */
	readonly otherRooms: (own: string) => readonly CellCapacity[];
	/** Notes that a job was sent to a cell, with the processor that it needs there. */
	readonly noteRedirect: (cell: string, processor: number) => void;
	readonly noteClaims: (claims: readonly CellClaim[]) => void;
	/** Expected run time over estimate by kind of endpoint, as the cell's earlier owner told it; kinds that it has not met come from other cells. */
	readonly kindFactors: (cell: string) => Readonly<Record<string, number>>;
};

/**
Takes processor off free room, from the fastest endpoints first, as tasks in time get these.
*/
export const withoutSent = (free: readonly FreeRoom[], sent: number): readonly FreeRoom[] => {
	let left = sent;
	return free.toSorted((first, second) => first.factor - second.factor).map(room => {
		const taken = Math.min(left, room.processor);
		left -= taken;
		return {...room, processor: room.processor - taken};
	});
};

type SentJob = {readonly at: number; readonly processor: number};

/**
Creates loads of which nothing was told yet.

@example
```
const loads = createCellLoads(settings.zones, view);
loads.otherRooms('ie-south-a');
```
*/
export const createCellLoads = (zones: readonly string[], view: FleetView): CellLoads => {
	const sent = new Map<string, readonly SentJob[]>();
	const factors = new Map<string, Readonly<Record<string, number>>>();

	const sentSince = (cell: string, heardAt: number): number => {
		const recent = (sent.get(cell) ?? []).filter(({at}) => at > heardAt);
		sent.set(cell, recent);
		let total = 0;
		for (const {processor} of recent) {
			total += processor;
		}

		return total;
	};

	return {
		otherRooms: own => zones.filter(zone => zone !== own).flatMap(zone => {
			const owner = view.get(findOwner(zone, view.all())?.address ?? '');
			const load = owner?.loads.get(zone);
			return load ? [{cell: zone, free: withoutSent(load.free, sentSince(zone, owner!.loadsHeardAt)), waitMilliseconds: load.backlogMilliseconds}] : [];
		}),
		noteRedirect(cell, processor) {
			sent.set(cell, [...sent.get(cell) ?? [], {at: performance.now(), processor}]);
		},
		noteClaims(claims) {
			for (const {cell, load} of claims) {
				factors.set(cell, load.kindFactors);
			}
		},
		kindFactors: cell => Object.assign({}, ...factors.values(), factors.get(cell)) as Readonly<Record<string, number>>,
	};
};
