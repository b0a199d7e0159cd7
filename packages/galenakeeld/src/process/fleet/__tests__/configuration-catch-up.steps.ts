import assert from 'node:assert/strict';
import {syncBuiltinESMExports} from 'node:module';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {newestVersionOf} from '../configuration-announcements.js';
import {createConfigurationCatchUp, type ConfigurationCatchUp} from '../configuration-catch-up.js';
import type {Peer} from '../fleet-view.js';
import {createDescribedPeer} from './described-peer.js';

type CatchUpWorld = {
	catchUpClock: Clock | undefined;
	catchUp: ConfigurationCatchUp;
	catchUpPeers: Peer[];
	installedVersion: number;
	storedVersion: number;
	isTurnedAway: boolean;
	reads: number;
	askedPeers: string[];
};

const installVersion = (world: CatchUpWorld, version: number): void => {
	if (version > world.installedVersion) {
		world.installedVersion = version;
		world.catchUp.recordInstalled();
	}
};

const changePeer = (world: CatchUpWorld, name: string, versions: Partial<Peer>): void => {
	world.catchUpPeers = world.catchUpPeers.map(peer => peer.address === name ? {...peer, ...versions} : peer);
	world.catchUp.review();
};

Given('a daemon in {string} with version {int} that is to apply versions within {int} ms, and the peers {string} in {string} and {string} in {string}', async function (this: CatchUpWorld, zone: string, version: number, applyMilliseconds: number, first: string, firstZone: string, second: string, secondZone: string) {
	this.catchUpClock = install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	syncBuiltinESMExports();
	this.catchUpPeers = [createDescribedPeer({address: first, zone: firstZone, version}), createDescribedPeer({address: second, zone: secondZone, version})];
	this.installedVersion = version;
	this.storedVersion = version;
	this.isTurnedAway = false;
	this.reads = 0;
	this.askedPeers = [];
	this.catchUp = createConfigurationCatchUp({
		zone,
		installed: () => this.installedVersion,
		newest: () => newestVersionOf(this.installedVersion, this.catchUpPeers),
		peers: () => this.catchUpPeers,
		read: async () => {
			if (this.isTurnedAway) {
				throw new Error('the store turns this daemon away');
			}

			this.reads++;
			installVersion(this, this.storedVersion);
		},
		request: address => {
			this.askedPeers.push(address);
		},
		applyMilliseconds,
		random: () => 0,
	});
	void this.catchUp.run();
});

After(function (this: Partial<CatchUpWorld>) {
	if (this.catchUpClock) {
		this.catchUp?.close();
		this.catchUpClock.uninstall();
		syncBuiltinESMExports();
	}
});

Given('the store has version {int}', function (this: CatchUpWorld, version: number) {
	this.storedVersion = version;
});

Given('the store turns the daemon away', function (this: CatchUpWorld) {
	this.isTurnedAway = true;
});

When('{string} tells the daemon of version {int}', function (this: CatchUpWorld, name: string, newestVersion: number) {
	changePeer(this, name, {newestVersion});
});

When('{string} has installed version {int}', function (this: CatchUpWorld, name: string, version: number) {
	changePeer(this, name, {configurationVersion: version, newestVersion: version});
});

When('the daemon installs version {int} after {int} ms', async function (this: CatchUpWorld, version: number, milliseconds: number) {
	await this.catchUpClock!.tickAsync(milliseconds);
	installVersion(this, version);
});

When('{int} ms pass for the daemon', async function (this: CatchUpWorld, milliseconds: number) {
	await this.catchUpClock!.tickAsync(milliseconds);
});

Then('the store was read {int} times', function (this: CatchUpWorld, count: number) {
	assert.equal(this.reads, count);
});

Then('the daemon has version {int}', function (this: CatchUpWorld, version: number) {
	assert.equal(this.installedVersion, version);
});

Then('no peer was asked', function (this: CatchUpWorld) {
	assert.deepEqual(this.askedPeers, []);
});

Then('{string} was asked {int} times', function (this: CatchUpWorld, name: string, count: number) {
	assert.deepEqual(this.askedPeers, Array.from({length: count}, () => name));
});
