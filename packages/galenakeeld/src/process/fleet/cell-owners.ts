import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {findOwners, type Claimant, type Owners} from './cell-claims.js';
import {zoneOfCell} from './cell-layout.js';
import type {CellOwner} from './held-jobs.js';

/**
The owners of cells, as this daemon knows them.
*/
export type CellOwners = {
	/** The daemon that owns a cell, this daemon included. */
	readonly claimantOf: (cell: string) => Claimant | undefined;
	readonly ownerOf: (cell: string) => CellOwner | undefined;
	/** Waits for an owner that can be heard and reached; undefined if there is none within that time. */
	readonly awaitOwner: (cell: string, waitMilliseconds: number) => Promise<CellOwner | undefined>;
	/** Cells with an owner that can be heard and reached, those of this daemon's zone first. */
	readonly reachableCells: () => readonly string[];
};

export type CellOwnersOptions = {
	readonly zone: string;
	/** Names of the known cells of all zones. */
	readonly cells: () => readonly string[];
	/** The reachable daemons with their claims, this daemon included. */
	readonly daemons: () => readonly Claimant[];
	/** Values that change with the claims of the daemons. */
	readonly revisions: () => readonly unknown[];
	/** Whether a message to a daemon would be sent now. */
	readonly isConnected: (address: string) => boolean;
};

const pollMilliseconds = 20;

/**
Creates the lookup of owners, which are determined once after each change of claims.

@example
```
const owners = createCellOwners(options);
owners.ownerOf('ie-south-a/0')?.address; // => '10.1.0.13:7720'
```
*/
export const createCellOwners = ({zone, cells, daemons, revisions, isConnected}: CellOwnersOptions): CellOwners => {
	let owners: Owners = new Map();
	let determinedAt: readonly unknown[] = [];

	const current = (): Owners => {
		const latest = revisions();
		if (latest.some((value, position) => value !== determinedAt[position])) {
			determinedAt = latest;
			owners = findOwners(daemons());
		}

		return owners;
	};

	const ownerOf = (cell: string): CellOwner | undefined => {
		const owner = current().get(cell);
		return owner && {address: owner.address, ...owner.claims.get(cell)!};
	};

	/** An owner that can be heard but not reached gets no job. */
	const reachableOwnerOf = (cell: string): CellOwner | undefined => {
		const owner = ownerOf(cell);
		return owner && isConnected(owner.address) ? owner : undefined;
	};

	return {
		claimantOf: cell => current().get(cell),
		ownerOf,
		async awaitOwner(cell, waitMilliseconds) {
			const until = performance.now() + waitMilliseconds;
			for (;;) {
				const owner = reachableOwnerOf(cell);
				if (owner !== undefined || performance.now() >= until) {
					return owner;
				}

				await sleep(Math.min(pollMilliseconds, Math.max(1, until - performance.now())));
			}
		},
		reachableCells: () => cells()
			.filter(cell => reachableOwnerOf(cell) !== undefined)
			.toSorted((first, second) => Number(zoneOfCell(second) === zone) - Number(zoneOfCell(first) === zone)),
	};
};
