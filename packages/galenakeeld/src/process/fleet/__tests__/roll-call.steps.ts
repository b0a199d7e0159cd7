import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createNotification} from '../notification.js';
import {createRollCall, type RollCall} from '../roll-call.js';

type RollCallWorld = {
	rollCallClock: Clock | undefined;
	zonePeers: string[];
	rollCall: RollCall;
	waitedMilliseconds: number;
};

Given('a zone with the peers {string}', function (this: RollCallWorld, names: string) {
	this.rollCallClock = install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	this.zonePeers = names.split(', ');
	this.rollCall = createRollCall(() => this.zonePeers);
});

After(function (this: Partial<RollCallWorld>) {
	this.rollCallClock?.uninstall();
});

When('the roll call starts', function (this: RollCallWorld) {
	this.rollCall.start();
});

When('the peer {string} becomes reachable', function (this: RollCallWorld, name: string) {
	this.zonePeers.push(name);
});

When('{int} ms pass after its start', function (this: RollCallWorld, milliseconds: number) {
	this.rollCallClock!.tick(milliseconds);
});

Then('the roll call expects {string}', function (this: RollCallWorld, names: string) {
	assert.equal(this.rollCall.expected().join(', '), names);
	for (const name of names === '' ? [] : names.split(', ')) {
		assert.ok(this.rollCall.includes(name));
	}
});

When('a task waits for a notification for {int} ms, which comes after {int} ms', async function (this: RollCallWorld, limit: number, milliseconds: number) {
	const {notify, wait} = createNotification();
	const startedAt = performance.now();
	setTimeout(notify, milliseconds);
	const waiting = wait(limit);
	await this.rollCallClock!.tickAsync(Math.min(limit, milliseconds));
	await waiting;
	this.waitedMilliseconds = performance.now() - startedAt;
});

Then('it has waited for {int} ms', function (this: RollCallWorld, milliseconds: number) {
	assert.equal(Math.round(this.waitedMilliseconds), milliseconds);
});
