import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {createStandingQueue, type StandingQueue} from '../standing-queue.js';

type QueueWorld = {queue: StandingQueue};

const observeMilliseconds = 20;
const endMilliseconds = 3000;
const lowestAtMilliseconds = 2000;

When('the expected wait is {int} ms but for a moment of {int} ms in the last 2 s, of at most {int} ms', function (this: QueueWorld, wait: number, lowest: number, maximum: number) {
	this.queue = createStandingQueue(0);
	for (let now = 0; now <= endMilliseconds; now += observeMilliseconds) {
		this.queue.observe(now === lowestAtMilliseconds ? lowest : wait, maximum, now);
	}
});

Then('the queue is a {string}', function (this: QueueWorld, kind: string) {
	assert.equal(this.queue.isStanding(endMilliseconds) ? 'standing queue' : 'burst', kind);
});
