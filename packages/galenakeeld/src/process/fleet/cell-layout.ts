import {createHash} from 'node:crypto';
import type {Job} from '@galenakeel/model/request/job.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';

/**
Number of cells by availability zone. A zone whose number is not known yet is missing. A number never changes.
*/
export type CellCounts = Readonly<Record<string, number>>;

/**
A cell of a zone, with the number of its endpoints.
*/
export type WeightedCell = {readonly cell: string; readonly weight: number};

const separator = '/';
/** One daemon orders the tasks of this many endpoints with a fraction of a core. */
const endpointsPerCell = 30;
const hashRange = 2 ** 32;
/** Index of the rack in the labels of an endpoint; the kind of machine comes first. */
const rackLabel = 1;

/** Largest number of cells of a zone. */
const maximumCells = 1000;

/**
Tells whether a value is a number of cells that a zone can have.
*/
export const isCellCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 1 && (value as number) <= maximumCells;

/**
Returns into how many cells a zone with this many endpoints is divided.

@example
```
cellCountFor(61); // => 2
```
*/
export const cellCountFor = (endpoints: number): number => Math.min(maximumCells, Math.max(1, Math.round(endpoints / endpointsPerCell)));

/**
Returns the names of the cells of a zone. An undivided zone is one cell of the same name.

@example
```
cellsOfZone('north', 2); // => ['north/0', 'north/1']
```
*/
export const cellsOfZone = (zone: string, count: number): readonly string[] =>
	count === 1 ? [zone] : Array.from({length: count}, (_, index) => `${zone}${separator}${index}`);

/**
Returns the names of all cells of the zones whose number of cells is known.
*/
export const allCells = (counts: CellCounts): readonly string[] => Object.entries(counts).flatMap(([zone, count]) => cellsOfZone(zone, count));

/**
Returns the availability zone of a cell.

@example
```
zoneOfCell('north/1'); // => 'north'
```
*/
export const zoneOfCell = (cell: string): string => {
	const [, zone] = /^(?<zone>.+)\/\d+$/v.exec(cell) ?? [];
	return zone ?? cell;
};

const hashOf = (text: string): number => createHash('sha1').update(text).digest().readUInt32BE(0);

/** Racks are numbered, so consecutive ones go to different cells, and the cells of a zone get about equally many. */
const positionOfRack = (rack: string): number => {
	const [digits] = /\d+$/v.exec(rack) ?? [];
	return digits === undefined ? hashOf(rack) : Number(digits);
};

/**
Returns the cell of an endpoint; undefined while the number of cells of its zone is unknown. Endpoints of one rack are in one cell, so that tasks that belong together or near their data can be placed by one owner.

@example
```
cellOfEndpoint({north: 2}, {zone: 'north', identifier: 'i-7f3a', labels: ['a', 'r0-3']}); // => 'north/1'
```
*/
export const cellOfEndpoint = (counts: CellCounts, {zone, identifier, labels}: Pick<EndpointEntry, 'zone' | 'identifier' | 'labels'>): string | undefined => {
	const count = counts[zone];
	if (count === undefined) {
		return undefined;
	}

	return cellsOfZone(zone, count)[positionOfRack(labels[rackLabel] ?? identifier) % count];
};

/** Endpoints for each unit of a cell's weight. */
const endpointsPerWeight = 8;

/**
Returns the weight of a cell with this many endpoints. It is coarse, so that daemons whose lists differ by a few endpoints nearly always choose the same cell for a job.

@example
```
weightOfCell(24); // => 3
```
*/
export const weightOfCell = (endpoints: number): number => Math.max(1, Math.round(endpoints / endpointsPerWeight));

const preferredRackOf = ({steps}: Pick<Job, 'steps'>): string | undefined => steps.find(({preferredRack}) => preferredRack !== undefined)?.preferredRack;

/** Selects a cell with a probability in proportion to its weight. */
const selectByHash = (cells: readonly WeightedCell[], identifier: string): string | undefined => {
	let total = 0;
	for (const {weight} of cells) {
		total += weight;
	}

	let remaining = total * hashOf(identifier) / hashRange;
	for (const {cell, weight} of cells) {
		remaining -= weight;
		if (remaining < 0) {
			return cell;
		}
	}

	return cells[0]?.cell;
};

/**
Returns the cell of a daemon's zone to which a job is submitted: the one with the rack of the job's data, otherwise one by the job's identifier, so that a repeated job reaches the same owner. Undefined without cells.

@param cells Cells of the zone, with the racks of each.

@example
```
homeCellOf(job, [{cell: 'north/0', weight: 20}, {cell: 'north/1', weight: 21}], (cell, rack) => racks.get(cell).has(rack));
```
*/
export const homeCellOf = (job: Pick<Job, 'identifier' | 'steps'>, cells: readonly WeightedCell[], hasRack: (cell: string, rack: string) => boolean): string | undefined => {
	const rack = cells.length > 1 ? preferredRackOf(job) : undefined;
	const near = rack === undefined ? undefined : cells.find(({cell}) => hasRack(cell, rack));
	return near?.cell ?? (cells.length > 1 ? selectByHash(cells, job.identifier) : cells[0]?.cell);
};
