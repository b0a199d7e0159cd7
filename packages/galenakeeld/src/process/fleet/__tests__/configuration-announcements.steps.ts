import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';
import {createConfigurationAnnouncements} from '../configuration-announcements.js';
import {awaitChangeFor, readIntervalFor} from '../configuration-watch.js';
import type {Peer} from '../fleet-view.js';

type AnnouncementWorld = {
	announcementClock: Clock | undefined;
	announcedPeers: Peer[];
	sentConfigurations: string[];
	announce: () => void;
};

const intervalMilliseconds = 50;

const createPeer = (address: string, zone: string, configurationVersion: number): Peer => ({
	instance: address, address, zone, startedAt: 1, processor: 1000, silentAfterMilliseconds: 700, neededSilenceMilliseconds: 700, pausesBefore: 0, isLeaving: false,
	claims: new Map(), loads: new Map(), loadsUpdatedAt: 0, configurationVersion, known: [], lastHeartbeatAt: 0,
});

Given('a daemon in {string} with version {int}, and {int} peers of which {string} is in {string} and {string} in {string}', function (this: AnnouncementWorld, zone: string, version: number, count: number, first: string, firstZone: string, second: string, secondZone: string) {
	this.announcementClock = install({toFake: ['performance']});
	const others = Array.from({length: count - 2}, (_, position) => createPeer(`other-${position}`, zone, version));
	this.announcedPeers = [createPeer(first, firstZone, version), createPeer(second, secondZone, version), ...others];
	this.sentConfigurations = [];
	const configuration: QueueConfiguration = {
		version, queues: [], unreadableQueues: 0, limits: {
			headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
		},
	};
	this.announce = createConfigurationAnnouncements({
		zone, current: () => configuration, peers: () => this.announcedPeers, send: address => {
			this.sentConfigurations.push(address);
		},
	});
});

After(function (this: Partial<AnnouncementWorld>) {
	this.announcementClock?.uninstall();
});

Given('{string} have version {int}', function (this: AnnouncementWorld, names: string, configurationVersion: number) {
	this.announcedPeers = this.announcedPeers.map(peer => names.split(', ').includes(peer.address) ? {...peer, configurationVersion} : peer);
	this.announce();
});

When('announcements are due for {int} ms', function (this: AnnouncementWorld, milliseconds: number) {
	for (let elapsed = 0; elapsed < milliseconds; elapsed += intervalMilliseconds) {
		this.announcementClock!.tick(intervalMilliseconds);
		this.announce();
	}
});

Then('one of {int} daemons waits {int} ms for a change, and reads the configuration each {int} ms', (daemons: number, wait: number, interval: number) => {
	assert.equal(awaitChangeFor(daemons), wait);
	assert.equal(readIntervalFor(daemons), interval);
});

Then('the configuration was sent to {string}', function (this: AnnouncementWorld, names: string) {
	assert.equal(this.sentConfigurations.join(', '), names);
});
