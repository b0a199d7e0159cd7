import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {FleetMessageKind, type Heartbeat} from '@galenakeel/model/connection/fleet-message.js';
import {
	longInterval, mediumInterval, shortInterval, heartbeatIntervalBetween, neededIntervalOf, type DaemonRole, type HeartbeatInterval, Urgency,
} from '../heartbeat-interval.js';
import {createFleetView, type FleetView} from '../fleet-view.js';
import {selectPeers, type PeerCandidate} from '../peer-selection.js';

type IntervalWorld = {
	heartbeatClock: Clock | undefined;
	heartbeatView: FleetView;
};

const millisecondsOfSecond = 1000;
const intervals = new Map([['short', shortInterval], ['medium', mediumInterval], ['long', longInterval]]);

const daemonOf = (text: string): DaemonRole | undefined => {
	const {zone} = /^in (?<zone>\w+)/v.exec(text)?.groups ?? {};
	return zone === undefined ? undefined : {zone, isOwner: text.endsWith('an owner')};
};

const heartbeatFrom = (address: string, silentAfterMilliseconds: number): Heartbeat => ({
	kind: FleetMessageKind.Heartbeat, instance: address, address, zone: 'north', startedAt: 1, processor: 1000, silentAfterMilliseconds, neededSilenceMilliseconds: silentAfterMilliseconds,
	claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
});

/** The interval after both have stated their needs. */
const intervalBetween = (self: DaemonRole, peer: DaemonRole | undefined, urgency: Urgency): HeartbeatInterval =>
	heartbeatIntervalBetween(self, peer, peer ? neededIntervalOf(peer, self, urgency).silentAfterMilliseconds : longInterval.silentAfterMilliseconds, urgency);

Then('a daemon that is {string} sends heartbeats to one that is {string} at the {string} interval', (self: string, peer: string, interval: string) => {
	assert.equal(intervalBetween(daemonOf(self)!, daemonOf(peer), Urgency.None), intervals.get(interval));
});

Then('a daemon that is {string}, with jobs at one that is {string}, sends heartbeats to it at the {string} interval', (self: string, peer: string, interval: string) => {
	assert.equal(intervalBetween(daemonOf(self)!, daemonOf(peer), Urgency.Jobs), intervals.get(interval));
});

Then('a daemon that is {string}, with a roll call of its zone, sends heartbeats to one that is {string} at the {string} interval', (self: string, peer: string, interval: string) => {
	assert.equal(intervalBetween(daemonOf(self)!, daemonOf(peer), Urgency.RollCall), intervals.get(interval));
});

Then('a daemon that is {string} sends heartbeats at the {string} interval to one that is {string} and needs to detect its loss after {int} ms', (self: string, interval: string, peer: string, milliseconds: number) => {
	assert.equal(heartbeatIntervalBetween(daemonOf(self)!, daemonOf(peer), milliseconds, Urgency.None), intervals.get(interval));
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

When('{string} are expected within {int} ms', function (this: IntervalWorld, names: string, milliseconds: number) {
	for (const name of names.split(', ')) {
		this.heartbeatView.expectWithin(name, milliseconds);
	}
});

When('{string} sends a keep-alive that expires after {int} ms', function (this: IntervalWorld, name: string, milliseconds: number) {
	this.heartbeatView.receiveKeepAlive(name, {silentAfterMilliseconds: milliseconds, neededSilenceMilliseconds: milliseconds, configurationVersion: 1});
});

Then('the view loses {string}', function (this: IntervalWorld, names: string) {
	assert.equal(this.heartbeatView.removeSilent().map(({address}) => address).join(', '), names);
});

Then('a daemon of {int} zones with {int} daemons each, which owns no cell, sends at most {int} heartbeats a second', (zones: number, daemonsInZone: number, maximumHeartbeats: number) => {
	const self: DaemonRole = {zone: 'zone-0', isOwner: false};
	let count = 0;
	for (let zone = 0; zone < zones; zone++) {
		for (let place = 0; place < daemonsInZone; place++) {
			count += millisecondsOfSecond / intervalBetween(self, {zone: `zone-${zone}`, isOwner: zone > 0 && place === 0}, Urgency.None).heartbeatMilliseconds;
		}
	}

	assert.ok(count <= maximumHeartbeats, `${count}`);
});

/** Whether one of the two opens a stream, which the other one answers with a stream of its own. */
const areLinked = (first: PeerCandidate, second: PeerCandidate, selected: ReadonlyMap<string, ReadonlySet<string>>): boolean =>
	selected.get(first.address)!.has(second.address) || selected.get(second.address)!.has(first.address);

Then('the daemons of {int} zones with {int} daemons and {int} owners each send at most {int} heartbeats a second in all', (zones: number, daemonsInZone: number, owners: number, maximumHeartbeats: number) => {
	const daemons = Array.from({length: zones * daemonsInZone}, (_, position) => ({
		address: `10.${position % zones}.0.${position}:1`, zone: `zone-${position % zones}`, isOwner: position < zones * owners,
	}));
	const selected = new Map(daemons.map(self => [self.address, new Set(selectPeers(self, daemons.map(daemon => ({...daemon, isOwner: false}))))]));
	let count = 0;
	for (const self of daemons) {
		for (const peer of daemons) {
			if (peer !== self && areLinked(self, peer, selected)) {
				count += millisecondsOfSecond / intervalBetween(self, peer, Urgency.None).heartbeatMilliseconds;
			}
		}
	}

	assert.ok(count <= maximumHeartbeats, `${count}`);
});
