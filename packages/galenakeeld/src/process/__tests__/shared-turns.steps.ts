import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {isOurTurn} from '../shared-turns.js';

type TurnsWorld = {
	names: readonly string[];
	isolated: string | undefined;
	slotMilliseconds: number;
	maximumTurns: number;
	nextSlot: number;
	/** First slot whose reads are checked. */
	fromSlot: number;
	/** Slots in which each instance read. */
	reads: Map<string, number[]>;
};

const reachableFrom = ({names, isolated}: TurnsWorld, self: string): readonly string[] =>
	self === isolated ? [self] : names.filter(name => name !== isolated);

const slotsSince = ({reads, fromSlot}: TurnsWorld, names: readonly string[]): readonly number[] =>
	[...new Set(names.flatMap(name => reads.get(name)!))].filter(slot => slot >= fromSlot);

Given('{int} connected instances with slots of {int} ms and rounds of at most {int} ms', function (this: TurnsWorld, count: number, slotMilliseconds: number, roundMilliseconds: number) {
	this.names = Array.from({length: count}, (_, position) => `entry-${position + 1}`);
	this.isolated = undefined;
	this.slotMilliseconds = slotMilliseconds;
	this.maximumTurns = roundMilliseconds / slotMilliseconds;
	this.nextSlot = 0;
	this.fromSlot = 0;
	this.reads = new Map(this.names.map(name => [name, []]));
});

When('slots of {int} ms in total pass', function (this: TurnsWorld, milliseconds: number) {
	const until = this.nextSlot + (milliseconds / this.slotMilliseconds);
	for (; this.nextSlot < until; this.nextSlot++) {
		for (const name of this.names) {
			if (isOurTurn(name, reachableFrom(this, name), this.nextSlot, this.maximumTurns)) {
				this.reads.get(name)!.push(this.nextSlot);
			}
		}
	}
});

When('instance {int} is isolated', function (this: TurnsWorld, position: number) {
	this.isolated = this.names[position - 1]!;
	this.fromSlot = this.nextSlot;
});

Then('together they read in every slot', function (this: TurnsWorld) {
	assert.equal(slotsSince(this, this.names).length, this.nextSlot);
});

Then('each reads every {int} ms', function (this: TurnsWorld, milliseconds: number) {
	for (const slots of this.reads.values()) {
		const gaps = slots.slice(1).map((slot, position) => (slot - slots[position]!) * this.slotMilliseconds);
		assert.ok(gaps.length > 0 && gaps.every(gap => gap === milliseconds), gaps.join(', '));
	}
});

Then('the instance that is isolated read in every slot since then', function (this: TurnsWorld) {
	assert.equal(slotsSince(this, [this.isolated!]).length, this.nextSlot - this.fromSlot);
});

Then('the others read in every slot since then', function (this: TurnsWorld) {
	assert.equal(slotsSince(this, this.names.filter(name => name !== this.isolated)).length, this.nextSlot - this.fromSlot);
});
