import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createCallerWaits, type CallerWaits} from '../caller-waits.js';

type WaitsWorld = {
	waitClock: Clock | undefined;
	waits: CallerWaits;
	forgetLast: () => void;
	callersLeft: number;
};

Given('callers that return {int} ms after they left, and runs that go on for {int} ms after a confirmation', function (this: WaitsWorld, returnMilliseconds: number, unconfirmedRunMilliseconds: number) {
	this.waitClock = install({toFake: ['performance', 'Date'], shouldClearNativeTimers: true});
	this.waits = createCallerWaits({returnMilliseconds, unconfirmedRunMilliseconds});
	this.callersLeft = 0;
});

After(function (this: Partial<WaitsWorld>) {
	this.waitClock?.uninstall();
});

When('a caller sends a job at {int} ms and waits for {int} ms', function (this: WaitsWorld, sentAt: number, waitMilliseconds: number) {
	this.forgetLast = this.waits.begin(sentAt, waitMilliseconds, () => {
		this.callersLeft++;
	});
});

When('the caller is answered', function (this: WaitsWorld) {
	this.forgetLast();
});

When('it is {int} ms', function (this: WaitsWorld, milliseconds: number) {
	this.waitClock!.tick(milliseconds - performance.now());
	this.waits.endOverdue();
});

When('the machine is suspended for {int} ms', function (this: WaitsWorld, milliseconds: number) {
	this.waitClock!.setSystemTime(Date.now() + milliseconds);
});

Then('no caller has left', function (this: WaitsWorld) {
	assert.equal(this.callersLeft, 0);
});

Then('{int} caller(s) has/have left', function (this: WaitsWorld, callers: number) {
	assert.equal(this.callersLeft, callers);
});
