import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import type {Step} from '@galenakeel/model/request/job.js';
import {
	cellCountFor, cellOfEndpoint, cellsOfZone, homeCellOf, zoneOfCell, type WeightedCell,
} from '../cell-layout.js';

type LayoutWorld = {
	count: number;
	endpoints: ReadonlyArray<{readonly identifier: string; readonly zone: string; readonly labels: readonly string[]}>;
	cells: readonly WeightedCell[];
};

const zone = 'north';

const plainStep: Step = {
	tasks: 1, room: {processor: 1000, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: 50, after: [],
};

const cellOf = ({count}: LayoutWorld, endpoint: LayoutWorld['endpoints'][number]): string => cellOfEndpoint({[zone]: count}, endpoint)!;

const racksByCell = (world: LayoutWorld): ReadonlyMap<string, ReadonlySet<string>> => {
	const racks = new Map<string, Set<string>>();
	for (const endpoint of world.endpoints) {
		const cell = cellOf(world, endpoint);
		racks.set(cell, new Set([...racks.get(cell) ?? [], endpoint.labels[1]!]));
	}

	return racks;
};

const homeOf = (world: LayoutWorld, identifier: string, preferredRack?: string): string | undefined => {
	const racks = world.endpoints === undefined ? new Map<string, ReadonlySet<string>>() : racksByCell(world);
	const job = {identifier, steps: [{...plainStep, ...(preferredRack !== undefined && {preferredRack})}]};
	return homeCellOf(job, world.cells, (cell, rack) => racks.get(cell)?.has(rack) ?? false);
};

Then('a zone with {int} endpoints is divided into {int} cells', (endpoints: number, cells: number) => {
	assert.equal(cellCountFor(endpoints), cells);
});

Then('the cells of {string} in {int} parts are {string}', (name: string, count: number, cells: string) => {
	assert.equal(cellsOfZone(name, count).join(', '), cells);
});

Then('the zone of the cell {string} is {string}', (cell: string, name: string) => {
	assert.equal(zoneOfCell(cell), name);
});

Given('a zone in {int} parts with {int} racks of {int} endpoints', function (this: LayoutWorld, count: number, racks: number, size: number) {
	this.count = count;
	this.endpoints = Array.from({length: racks * size}, (_, index) => ({identifier: `i-${index}`, zone, labels: ['a', `r1-${Math.floor(index / size)}`]}));
	this.cells = cellsOfZone(zone, count).map(cell => ({cell, weight: 1}));
});

Given('the cells {string} with {int} endpoints and {string} with {int}', function (this: LayoutWorld, first: string, firstWeight: number, second: string, secondWeight: number) {
	this.cells = [{cell: first, weight: firstWeight}, {cell: second, weight: secondWeight}];
});

Then('each rack is in one cell', function (this: LayoutWorld) {
	const cellsByRack = new Map<string, Set<string>>();
	for (const endpoint of this.endpoints) {
		const rack = endpoint.labels[1]!;
		cellsByRack.set(rack, new Set([...cellsByRack.get(rack) ?? [], cellOf(this, endpoint)]));
	}

	assert.ok([...cellsByRack.values()].every(({size}) => size === 1));
});

Then('the cells have {string} racks', function (this: LayoutWorld, counts: string) {
	const racks = racksByCell(this);
	assert.equal(cellsOfZone(zone, this.count).map(cell => racks.get(cell)!.size).join(', '), counts);
});

Then('an endpoint of an unknown zone is in no cell', () => {
	assert.equal(cellOfEndpoint({}, {identifier: 'i-1', zone, labels: []}), undefined);
});

Then('a job that prefers the rack {string} goes to the cell of that rack', function (this: LayoutWorld, rack: string) {
	const [cell] = [...racksByCell(this)].find(([, racks]) => racks.has(rack))!;
	assert.equal(homeOf(this, '5c0e7a21d94b36f8', rack), cell);
});

Then('a job that prefers the rack {string}, which the zone doesn\'t have, goes to a cell of the zone', function (this: LayoutWorld, rack: string) {
	assert.equal(zoneOfCell(homeOf(this, '5c0e7a21d94b36f8', rack)!), zone);
});

Then('of {int} jobs between {int} and {int} go to {string}', function (this: LayoutWorld, jobs: number, least: number, most: number, cell: string) {
	const count = Array.from({length: jobs}, (_, index) => homeOf(this, `job-${index}`)).filter(home => home === cell).length;
	assert.ok(count >= least && count <= most, `${count} jobs went to ${cell}`);
});

Then('a job that is repeated goes to the same cell', function (this: LayoutWorld) {
	assert.equal(homeOf(this, '5c0e7a21d94b36f8'), homeOf(this, '5c0e7a21d94b36f8'));
});
