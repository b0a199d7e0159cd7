import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {awaitWholeTurn, createReadingTurns, type ReadingTurns} from '../reading-turns.js';

type TurnsWorld = {
	turnClock: Clock | undefined;
	observedTurns: ReadingTurns;
	isOver: boolean;
};

const awaitImmediates = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

Given('a wait for what has arrived', function (this: TurnsWorld) {
	this.turnClock = install({toFake: ['performance', 'Date'], shouldClearNativeTimers: true});
	this.observedTurns = createReadingTurns(() => {
		// No caller leaves here.
	});
	this.isOver = false;
	const wait = async (): Promise<void> => {
		await awaitWholeTurn();
		this.isOver = true;
	};

	void wait();
});

After(function (this: Partial<TurnsWorld>) {
	this.turnClock?.uninstall();
});

When('{int} phase(s) of immediates has/have passed', async (count: number) => {
	for (let phase = 0; phase < count; phase++) {
		await awaitImmediates();
	}
});

When('a turn begins at {int} ms', function (this: TurnsWorld, at: number) {
	assert.equal(performance.now(), at);
	this.observedTurns.begin();
});

When('the turn takes {int} ms', function (this: TurnsWorld, milliseconds: number) {
	this.turnClock!.tick(milliseconds);
});

Then('the wait goes on', function (this: TurnsWorld) {
	assert.equal(this.isOver, false);
});

Then('the wait is over', function (this: TurnsWorld) {
	assert.equal(this.isOver, true);
});

Then('the longest turn took {int} ms', function (this: TurnsWorld, milliseconds: number) {
	assert.equal(this.observedTurns.takeLongest(), milliseconds);
	assert.equal(this.observedTurns.takeLongest(), 0);
});

Then('what arrived up to {int} ms is read', function (this: TurnsWorld, at: number) {
	assert.equal(this.observedTurns.readUpTo(), at);
});
