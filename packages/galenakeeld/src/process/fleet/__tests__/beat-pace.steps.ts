import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {FleetMessageKind, type Heartbeat} from '@galenakeel/model/connection/fleet-message.js';
import {
	farPace, nearPace, paceBetween, type PacedDaemon,
} from '../beat-pace.js';
import {createFleetView, type FleetView} from '../fleet-view.js';

type PaceWorld = {
	paceClock: Clock | undefined;
	pacedView: FleetView;
};

const millisecondsOfSecond = 1000;

const daemonOf = (text: string): PacedDaemon | undefined => {
	const {zone} = /^in (?<zone>\w+)/v.exec(text)?.groups ?? {};
	return zone === undefined ? undefined : {zone, isOwner: text.endsWith('an owner')};
};

const createBeat = (address: string, silentAfterMilliseconds: number): Heartbeat => ({
	kind: FleetMessageKind.Heartbeat, instance: address, address, zone: 'north', startedAt: 1, processor: 1000, silentAfterMilliseconds, claims: [], configurationVersion: 1, isLeaving: false, known: [],
});

Then('a daemon that is {string} sends beats to one that is {string} at the {string} pace', (self: string, peer: string, pace: string) => {
	assert.equal(paceBetween(daemonOf(self)!, daemonOf(peer)), pace === 'near' ? nearPace : farPace);
});

Given('a view that has heard {string} with a silence of {int} ms and {string} with one of {int} ms', function (this: PaceWorld, first: string, firstMilliseconds: number, second: string, secondMilliseconds: number) {
	this.paceClock = install({toFake: ['performance']});
	this.pacedView = createFleetView();
	this.pacedView.hear(createBeat(first, firstMilliseconds));
	this.pacedView.hear(createBeat(second, secondMilliseconds));
});

After(function (this: Partial<PaceWorld>) {
	this.paceClock?.uninstall();
});

When('{int} ms of silence pass', function (this: PaceWorld, milliseconds: number) {
	this.paceClock!.tick(milliseconds);
});

Then('the view loses {string}', function (this: PaceWorld, names: string) {
	assert.equal(this.pacedView.forgetSilent().map(({address}) => address).join(', '), names);
});

Then('a daemon of {int} zones with {int} daemons each, which owns no cell, sends at most {int} beats a second', (zones: number, daemonsInZone: number, mostBeats: number) => {
	const self: PacedDaemon = {zone: 'zone-0', isOwner: false};
	let beats = 0;
	for (let zone = 0; zone < zones; zone++) {
		for (let place = 0; place < daemonsInZone; place++) {
			beats += millisecondsOfSecond / paceBetween(self, {zone: `zone-${zone}`, isOwner: zone > 0 && place === 0}).beatMilliseconds;
		}
	}

	assert.ok(beats <= mostBeats, `${beats}`);
});
