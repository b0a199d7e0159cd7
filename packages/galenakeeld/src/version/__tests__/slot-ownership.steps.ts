import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {countOwnedSlots, type OwnedEndpoint, type SlotOwner} from '../slot-ownership.js';

type Shares = ReadonlyMap<string, ReadonlyMap<string, number>>;

type OwnershipWorld = {endpoints: readonly OwnedEndpoint[]; owners: readonly SlotOwner[]; shares: Shares; before: Shares};

const sharesOf = (owners: readonly SlotOwner[], endpoints: readonly OwnedEndpoint[]): Shares =>
	new Map(owners.map(({instance}) => [instance, countOwnedSlots(instance, owners, endpoints)]));

const sum = (counts: Iterable<number>): number => {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	return total;
};

Given('{int} endpoints of {int} slots in one zone, owned by {int} instances', function (this: OwnershipWorld, endpoints: number, slots: number, instances: number) {
	this.endpoints = Array.from({length: endpoints}, (_, number) => ({address: `10.0.0.${number}:80`, zone: 'zone-a', slots}));
	this.owners = Array.from({length: instances}, (_, number) => ({instance: `entry-${number + 1}`, zone: 'zone-a', weight: 1}));
	this.shares = sharesOf(this.owners, this.endpoints);
});

When('instance {int} leaves', function (this: OwnershipWorld, number: number) {
	this.before = this.shares;
	this.owners = this.owners.filter(({instance}) => instance !== `entry-${number}`);
	this.shares = sharesOf(this.owners, this.endpoints);
});

Then('each instance owns {int} slots', function (this: OwnershipWorld, slots: number) {
	assert.deepEqual([...this.shares.values()].map(counts => sum(counts.values())), this.owners.map(() => slots));
});

Then('every slot has one owner', function (this: OwnershipWorld) {
	for (const {address, slots} of this.endpoints) {
		assert.equal(sum([...this.shares.values()].map(counts => counts.get(address) ?? 0)), slots);
	}
});

Then('at most {int}% of the slots move to another instance', function (this: OwnershipWorld, percent: number) {
	let moved = 0;
	for (const {address} of this.endpoints) {
		for (const [instance, counts] of this.shares) {
			moved += Math.max(0, (counts.get(address) ?? 0) - (this.before.get(instance)?.get(address) ?? 0));
		}
	}

	const total = sum(this.endpoints.map(({slots}) => slots));
	assert.ok(moved * 100 <= total * percent, `${moved} of ${total}`);
});
