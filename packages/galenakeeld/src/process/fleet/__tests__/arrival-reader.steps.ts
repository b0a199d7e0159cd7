import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createArrivalReader} from '../arrival-reader.js';

type ArrivalsWorld = {
	arrivalClock: Clock | undefined;
	isOver: boolean;
};

const awaitImmediates = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const passPhases = async (count: number): Promise<void> => {
	for (let phase = 0; phase < count; phase++) {
		await awaitImmediates();
	}
};

Given('a wait for what has arrived, which may be {int} ms old', function (this: ArrivalsWorld, mostMilliseconds: number) {
	this.arrivalClock = install({toFake: ['performance', 'Date'], shouldClearNativeTimers: true});
	this.isOver = false;
	const readArrivals = createArrivalReader(mostMilliseconds);
	const wait = async (): Promise<void> => {
		await readArrivals();
		this.isOver = true;
	};

	void wait();
});

After(function (this: Partial<ArrivalsWorld>) {
	this.arrivalClock?.uninstall();
});

When('{int} phase(s) of immediates has/have passed', async (count: number) => {
	await passPhases(count);
});

When('the process stands still for {int} ms', function (this: ArrivalsWorld, milliseconds: number) {
	this.arrivalClock!.tick(milliseconds);
});

When('the machine is suspended for {int} ms', function (this: ArrivalsWorld, milliseconds: number) {
	this.arrivalClock!.setSystemTime(Date.now() + milliseconds);
});

Then('the wait goes on', function (this: ArrivalsWorld) {
	assert.equal(this.isOver, false);
});

Then('the wait is over', function (this: ArrivalsWorld) {
	assert.equal(this.isOver, true);
});
