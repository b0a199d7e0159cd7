import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {FleetMessageKind, type KeepAlive} from '@galenakeel/model/connection/fleet-message.js';
import {createConfigurationAnnouncements, newestVersionOf} from '../configuration-announcements.js';
import {awaitChangeFor, readIntervalFor} from '../configuration-watch.js';
import {createFleetView, type FleetView, type Peer} from '../fleet-view.js';
import {createDescribedPeer} from './described-peer.js';

type AnnouncementWorld = {
	announcementClock: Clock | undefined;
	announcedPeers: Peer[];
	sentVersions: string[];
	isOwner: boolean;
	ownVersion: number;
	view: FleetView;
	announce: () => void;
};

const intervalMilliseconds = 50;

Given('a daemon in {string} with version {int}, and {int} peers of which {string} is in {string} and {string} in {string}', function (this: AnnouncementWorld, zone: string, version: number, count: number, first: string, firstZone: string, second: string, secondZone: string) {
	this.announcementClock = install({toFake: ['performance']});
	const others = Array.from({length: count - 2}, (_, position) => createDescribedPeer({address: `other-${position}`, zone, version}));
	this.announcedPeers = [createDescribedPeer({address: first, zone: firstZone, version}), createDescribedPeer({address: second, zone: secondZone, version}), ...others];
	this.sentVersions = [];
	this.isOwner = false;
	this.ownVersion = version;
	this.announce = createConfigurationAnnouncements({
		zone,
		installed: () => this.ownVersion,
		newest: () => newestVersionOf(this.ownVersion, this.announcedPeers),
		isOwner: () => this.isOwner,
		peers: () => this.announcedPeers,
		send: (address, message) => {
			assert.equal(message.kind, FleetMessageKind.ConfigurationVersion);
			this.sentVersions.push(address);
		},
	});
});

After(function (this: Partial<AnnouncementWorld>) {
	this.announcementClock?.uninstall();
});

Given('{string} have version {int}', function (this: AnnouncementWorld, names: string, configurationVersion: number) {
	this.announcedPeers = this.announcedPeers.map(peer => names.split(', ').includes(peer.address) ? {...peer, configurationVersion, newestVersion: configurationVersion} : peer);
	this.announce();
});

Given('the daemon and {string} own a cell each', function (this: AnnouncementWorld, name: string) {
	this.isOwner = true;
	this.announcedPeers = this.announcedPeers.map(peer => peer.address === name ? {...peer, claims: new Map([['south', {token: 1, term: 1}]])} : peer);
});

When('{string} tells of version {int}', function (this: AnnouncementWorld, name: string, newestVersion: number) {
	this.announcedPeers = this.announcedPeers.map(peer => peer.address === name ? {...peer, newestVersion} : peer);
	this.announce();
});

When('the daemon installs version {int}', function (this: AnnouncementWorld, version: number) {
	this.ownVersion = version;
	this.announce();
});

When('announcements are due for {int} ms', function (this: AnnouncementWorld, milliseconds: number) {
	for (let elapsed = 0; elapsed < milliseconds; elapsed += intervalMilliseconds) {
		this.announcementClock!.tick(intervalMilliseconds);
		this.announce();
	}
});

Given('a view of the peer {string} with version {int}', function (this: AnnouncementWorld, address: string, configurationVersion: number) {
	this.view = createFleetView();
	this.view.receiveHeartbeat({
		kind: FleetMessageKind.Heartbeat, instance: address, address, zone: 'north', startedAt: 1, processor: 1000, silentAfterMilliseconds: 700, neededSilenceMilliseconds: 700,
		claims: [], configurationVersion, isLeaving: false, known: [], cellCounts: {},
	});
});

When('a keep-alive of {string} without a version is read', function (this: AnnouncementWorld, address: string) {
	const keepAlive = {silentAfterMilliseconds: 700, neededSilenceMilliseconds: 700};
	this.view.receiveKeepAlive(address, keepAlive as unknown as KeepAlive);
});

When('{string} tells the view of version {int}, which it has not installed', function (this: AnnouncementWorld, address: string, newest: number) {
	this.view.receiveConfigurationVersion(address, {installed: 7, newest});
});

Then('the view has version {int} of {string}', function (this: AnnouncementWorld, version: number, address: string) {
	const {configurationVersion, newestVersion} = this.view.get(address)!;
	assert.deepEqual([configurationVersion, newestVersion], [version, version]);
});

Then('the view has version {int} of {string}, and {int} as the newest', function (this: AnnouncementWorld, version: number, address: string, newest: number) {
	const {configurationVersion, newestVersion} = this.view.get(address)!;
	assert.deepEqual([configurationVersion, newestVersion], [version, newest]);
});

Then('one of {int} daemons waits {int} ms for a change, and reads the configuration each {int} ms', (daemons: number, wait: number, interval: number) => {
	assert.equal(awaitChangeFor(daemons), wait);
	assert.equal(readIntervalFor(daemons), interval);
});

Then('the version was announced to {string}', function (this: AnnouncementWorld, names: string) {
	assert.equal(this.sentVersions.join(', '), names);
});
