import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {Claimant} from '../cell-claims.js';
import {createDiscovery, type Discovery} from '../discovery.js';
import {createOwnedCells, type OwnedCells} from '../owned-cells.js';
import {createIdleCell} from './idle-cell.js';

type DiscoveryWorld = {
	discoveryClock: Clock | undefined;
	discovery: Discovery;
	heardAt: Map<string, number>;
	reviewedCells: OwnedCells;
	mayClaim: boolean;
	claimants: Claimant[];
};

const ignore = (): void => {
	// The scenarios check only who claims.
};

const splitNames = (text: string): readonly string[] => text.split(', ');

const hear = (world: DiscoveryWorld, names: string): void => {
	for (const name of splitNames(names)) {
		world.heardAt.set(name, performance.now());
	}
};

const createClaimant = (address: string, claims: Claimant['claims']): Claimant => ({
	address, zone: 'north', startedAt: 1, processor: 1000, isLeaving: false, claims,
});

Given('a discovery that awaits {string}', function (this: DiscoveryWorld, names: string) {
	this.discoveryClock = install({now: 10_000, toFake: ['performance', 'Date']});
	this.heardAt = new Map();
	this.discovery = createDiscovery({lastHeardAt: address => this.heardAt.get(address), hasReachablePeers: () => this.heardAt.size > 0});
	this.discovery.expect(splitNames(names));
});

After(function (this: Partial<DiscoveryWorld>) {
	this.discoveryClock?.uninstall();
});

When('{int} ms pass and {string} is/are heard', function (this: DiscoveryWorld, milliseconds: number, names: string) {
	this.discoveryClock!.tick(milliseconds);
	hear(this, names);
});

When('{int} ms go by', function (this: DiscoveryWorld, milliseconds: number) {
	this.discoveryClock!.tick(milliseconds);
});

When('{string} is heard', function (this: DiscoveryWorld, names: string) {
	hear(this, names);
});

When('{string} refuses connections', function (this: DiscoveryWorld, name: string) {
	this.discovery.recordRefused(name);
});

When('the daemon was paused', function (this: DiscoveryWorld) {
	this.discoveryClock!.tick(1);
	this.discovery.restart();
});

Then('the discovery is over', function (this: DiscoveryWorld) {
	assert.equal(this.discovery.isOver(), true);
});

Then('the discovery is not over', function (this: DiscoveryWorld) {
	assert.equal(this.discovery.isOver(), false);
});

Given('a daemon of {string} that may not claim', function (this: DiscoveryWorld, zone: string) {
	this.mayClaim = false;
	this.claimants = [createClaimant('n2', new Map())];
	this.reviewedCells = createOwnedCells({
		cells: () => [zone],
		cellOf: entry => entry.zone,
		canReachEndpoints: async () => true,
		createCell: name => createIdleCell(name),
		onClaimed: ignore,
		onYielded: ignore,
	});
});

When('its claims are reviewed', function (this: DiscoveryWorld) {
	this.reviewedCells.reviewClaims(() => createClaimant('n1', this.reviewedCells.claimsByCell()), this.claimants, {ageMilliseconds: 9000, mayClaim: this.mayClaim, mayHandOver: true});
});

When('it may claim', function (this: DiscoveryWorld) {
	this.mayClaim = true;
});

When('it may not claim', function (this: DiscoveryWorld) {
	this.mayClaim = false;
});

When('a peer claims {string} with a higher token', function (this: DiscoveryWorld, cell: string) {
	const token = this.reviewedCells.claimsByCell().get(cell)!.token + 1;
	this.claimants = [createClaimant('n2', new Map([[cell, {token, term: token}]]))];
});

Then('it claims {string}', function (this: DiscoveryWorld, names: string) {
	assert.equal([...this.reviewedCells.claimsByCell().keys()].join(', '), names);
});
