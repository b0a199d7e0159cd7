import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {FleetMessageKind, type Heartbeat} from '@galenakeel/model/connection/fleet-message.js';
import {
	longInterval, mediumInterval, shortInterval, heartbeatIntervalBetween, type DaemonRole,
} from '../heartbeat-interval.js';
import {createFleetView, type FleetView} from '../fleet-view.js';

type IntervalWorld = {
	heartbeatClock: Clock | undefined;
	heartbeatView: FleetView;
};

const millisecondsOfSecond = 1000;

const daemonOf = (text: string): DaemonRole | undefined => {
	const {zone} = /^in (?<zone>\w+)/v.exec(text)?.groups ?? {};
	return zone === undefined ? undefined : {zone, isOwner: text.endsWith('an owner')};
};

const heartbeatFrom = (address: string, silentAfterMilliseconds: number): Heartbeat => ({
	kind: FleetMessageKind.Heartbeat, instance: address, address, zone: 'north', startedAt: 1, processor: 1000, silentAfterMilliseconds,
	claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
});

Then('a daemon that is {string} sends heartbeats to one that is {string} at the {string} interval', (self: string, peer: string, interval: string) => {
	const intervals = new Map([['short', shortInterval], ['medium', mediumInterval], ['long', longInterval]]);
	assert.equal(heartbeatIntervalBetween(daemonOf(self)!, daemonOf(peer)), intervals.get(interval));
});

Given('a view with heartbeats of {string} that expire after {int} ms and of {string} that expire after {int} ms', function (this: IntervalWorld, first: string, firstMilliseconds: number, second: string, secondMilliseconds: number) {
	this.heartbeatClock = install({toFake: ['performance']});
	this.heartbeatView = createFleetView();
	this.heartbeatView.receiveHeartbeat(heartbeatFrom(first, firstMilliseconds));
	this.heartbeatView.receiveHeartbeat(heartbeatFrom(second, secondMilliseconds));
});

After(function (this: Partial<IntervalWorld>) {
	this.heartbeatClock?.uninstall();
});

When('{int} ms pass without heartbeats', function (this: IntervalWorld, milliseconds: number) {
	this.heartbeatClock!.tick(milliseconds);
});

When('the daemon is paused for {int} ms', function (this: IntervalWorld, milliseconds: number) {
	this.heartbeatClock!.tick(milliseconds);
	this.heartbeatView.excludePause(milliseconds);
});

Then('the view loses {string}', function (this: IntervalWorld, names: string) {
	assert.equal(this.heartbeatView.removeSilent().map(({address}) => address).join(', '), names);
});

Then('a daemon of {int} zones with {int} daemons each, which owns no cell, sends at most {int} heartbeats a second', (zones: number, daemonsInZone: number, maximumHeartbeats: number) => {
	const self: DaemonRole = {zone: 'zone-0', isOwner: false};
	let count = 0;
	for (let zone = 0; zone < zones; zone++) {
		for (let place = 0; place < daemonsInZone; place++) {
			count += millisecondsOfSecond / heartbeatIntervalBetween(self, {zone: `zone-${zone}`, isOwner: zone > 0 && place === 0}).heartbeatMilliseconds;
		}
	}

	assert.ok(count <= maximumHeartbeats, `${count}`);
});
