import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {expectedSlotsOf, measureSlotCapacity} from '../slot-capacity.js';
import {createSlotLedger, type SlotLedger} from '../slot-ledger.js';
import {createStandingQueueDetector, type StandingQueueDetector} from '../standing-queue-detector.js';

type QueueWorld = {queue: StandingQueueDetector; ledger: SlotLedger; isStanding: boolean};

const address = '10.0.0.1:80';

const observeMilliseconds = 20;
const endMilliseconds = 3000;
const lowestAtMilliseconds = 2000;

When('the expected wait is {int} ms except for one sample of {int} ms in the last 2 s, with a maximum of {int} ms', function (this: QueueWorld, wait: number, lowest: number, maximum: number) {
	this.queue = createStandingQueueDetector(0);
	for (let now = 0; now <= endMilliseconds; now += observeMilliseconds) {
		this.queue.observe(now === lowestAtMilliseconds ? lowest : wait, maximum, now);
	}
});

Then('the queue counts as a {string}', function (this: QueueWorld, kind: string) {
	assert.equal(this.queue.isStanding(endMilliseconds) ? 'standing queue' : 'burst', kind);
});

Given('an instance of {int} slots that has lent {int} of them', function (this: QueueWorld, slots: number, lent: number) {
	this.ledger = createSlotLedger(() => undefined);
	const endpoint = {
		name: 'worker', address, zone: 'zone-a', slots, connections: 64, speed: 1,
	};
	this.ledger.install([endpoint], new Map([[address, slots]]), 1);
	this.ledger.change(this.ledger.slotsOf(address)!, {lent});
});

When('the queue is a {string}', function (this: QueueWorld, kind: string) {
	this.isStanding = kind === 'standing queue';
});

Then('{int} slots are expected for its waiting tasks', function (this: QueueWorld, count: number) {
	assert.equal(expectedSlotsOf(measureSlotCapacity(this.ledger.inUse(), () => 1), this.isStanding), count);
});
