import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {PlacementPolicy} from '../placement-policy.js';
import {createChooseEndpoint} from '../choose-endpoint.js';
import {createHeldSlots, type HeldSlots} from '../held-slots.js';
import {createLentSlots, type LentSlots, type SlotRequest} from '../lent-slots.js';
import {createSlotLedger, type SlotGrant, type SlotLedger} from '../slot-ledger.js';

type Side = {ledger: SlotLedger; lent: LentSlots; held: HeldSlots};

type LeasesWorld = {lender: Side; borrower: Side; needed: number; neededWithinQuota: number; hasShortage: boolean; grants: SlotGrant[]};

const address = '127.0.0.1:8080';
const leaseMilliseconds = 3000;

const createSide = (owned: number, surplus: (ledger: SlotLedger) => number, surplusWithinQuota: (ledger: SlotLedger) => number, hasShortage: () => boolean): Side => {
	const ledger = createSlotLedger(() => undefined);
	ledger.install([{
		name: 'worker', address, zone: 'zone-a', slots: 8, connections: 64, speed: 1,
	}], new Map([[address, owned]]), 2);
	return {
		ledger,
		lent: createLentSlots(ledger, {
			leaseMilliseconds, surplus: () => surplus(ledger), surplusWithinQuota: () => surplusWithinQuota(ledger), hasShortage, onReturn: () => undefined,
		}),
		held: createHeldSlots(ledger, leaseMilliseconds),
	};
};

const exchange = ({lender, borrower}: LeasesWorld, request: SlotRequest, now: number): void => {
	const leases = lender.lent.lend('borrower', borrower.held.leasesToRenew('lender'), request, now);
	borrower.held.replaceLeases('lender', leases, now + leaseMilliseconds);
};

const choose = ({borrower}: LeasesWorld, workMilliseconds: number, now: number): boolean => {
	const chooseFree = createChooseEndpoint(PlacementPolicy.SharesWithBorrowing, () => 1, () => now);
	return chooseFree(borrower.ledger.inUse(), {workMilliseconds}) !== undefined;
};

Given('a lender with {int} slots and a borrower of an endpoint', function (this: LeasesWorld, slots: number) {
	this.needed = 0;
	this.neededWithinQuota = 8;
	this.hasShortage = false;
	this.grants = [];
	this.lender = createSide(slots, ledger => Math.max(0, ledger.free() - this.needed), ledger => Math.max(0, ledger.free() - this.neededWithinQuota), () => this.hasShortage);
	this.borrower = createSide(0, () => 0, () => 0, () => false);
});

Given('the lender needs {int} slots itself', function (this: LeasesWorld, needed: number) {
	this.needed = needed;
});

When('the borrower requests {int} slots at {int} ms', function (this: LeasesWorld, count: number, now: number) {
	exchange(this, {count, withinQuota: 0}, now);
});

Given('the lender needs {int} slots for teams within their quota and the rest for others', function (this: LeasesWorld, needed: number) {
	this.needed = 8;
	this.neededWithinQuota = needed;
});

When('the borrower requests {int} slots at {int} ms, {int} of them for teams within their quota', function (this: LeasesWorld, count: number, now: number, withinQuota: number) {
	exchange(this, {count, withinQuota}, now);
});

When('the borrower renews its leases at {int} ms', function (this: LeasesWorld, now: number) {
	exchange(this, {count: 0, withinQuota: 0}, now);
});

When('the borrower runs {int} tasks', function (this: LeasesWorld, count: number) {
	for (let number = 0; number < count; number++) {
		this.grants.push(this.borrower.ledger.acquire(this.borrower.ledger.slotsOf(address)!));
	}
});

When('the borrower completes {int} tasks', function (this: LeasesWorld, count: number) {
	for (const grant of this.grants.splice(0, count)) {
		grant.release();
	}
});

When('the lender has a shortage', function (this: LeasesWorld) {
	this.hasShortage = true;
	this.needed = 8;
});

When('the borrower returns its idle slots', function (this: LeasesWorld) {
	this.lender.lent.reclaim('borrower', this.borrower.held.releaseIdle('lender'));
});

When('{int} ms have passed', function (this: LeasesWorld, now: number) {
	this.lender.lent.sweep(now);
	this.borrower.held.sweep(now);
});

Then('the lender may use {int} slots and the borrower {int}', function (this: LeasesWorld, lender: number, borrower: number) {
	assert.deepEqual([this.lender.ledger.usable(), this.borrower.ledger.usable()], [lender, borrower]);
});

Then('the borrower finds a slot for a task of {int} ms at {int} ms', function (this: LeasesWorld, work: number, now: number) {
	assert.equal(choose(this, work, now), true);
});

Then('the borrower finds none for a task of {int} ms at {int} ms', function (this: LeasesWorld, work: number, now: number) {
	assert.equal(choose(this, work, now), false);
});
