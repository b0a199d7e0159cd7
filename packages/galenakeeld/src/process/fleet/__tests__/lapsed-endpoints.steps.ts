import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {Claimant} from '../cell-claims.js';
import {createOwnedCells, type OwnedCells} from '../owned-cells.js';
import {createIdleCell} from './idle-cell.js';

type LapsedWorld = {
	lapsedClock: Clock;
	zone: string;
	ownedCells: OwnedCells;
	installed: string[];
};

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const createEntry = (identifier: string, zone: string): EndpointEntry => ({
	identifier, startedAt: 1, service: 'sheets', address: '10.1.0.1:80', zone, isDraining: false, room: {processor: 1000, memoryMegabytes: 1, accelerators: 0}, labels: [],
});

const receiveList = (world: LapsedWorld, names: string): void => {
	world.ownedCells.recordEndpoints(world.zone, splitNames(names).map(name => createEntry(name, world.zone)));
};

Given('a daemon of {string} that knows the list {string} of its zone', function (this: LapsedWorld, zone: string, names: string) {
	this.lapsedClock = install({toFake: ['performance', 'Date']});
	this.zone = zone;
	this.installed = [];
	this.ownedCells = createOwnedCells({
		cells: () => [zone],
		cellOf: () => zone,
		canReachEndpoints: async () => true,
		createCell: name => createIdleCell(name, {
			install: entries => {
				this.installed.push(entries.map(({identifier}) => identifier).join(', '));
			},
		}),
		onClaimed() {
			// The installed lists are checked.
		},
		onYielded() {
			// The installed lists are checked.
		},
	});
	receiveList(this, names);
});

After(function (this: Partial<LapsedWorld>) {
	this.lapsedClock?.uninstall();
});

When('it receives the list {string} {int} ms before it claims the cell', function (this: LapsedWorld, names: string, milliseconds: number) {
	receiveList(this, names);
	this.lapsedClock.tick(milliseconds);
	const self: Claimant = {
		address: 'n1', zone: this.zone, startedAt: 1, processor: 1000, isLeaving: false, claims: new Map(),
	};
	this.ownedCells.reviewClaims(() => self, [], {ageMilliseconds: 10_000, mayClaim: true, mayHandOver: true});
});

Then('its cell installs {string} and then {string}', function (this: LapsedWorld, first: string, second: string) {
	assert.deepEqual(this.installed, [first, second]);
});
