import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {CellLoad} from '@galenakeel/model/connection/fleet-message.js';
import type {Peer} from '../fleet-view.js';
import {createLoadAnnouncements} from '../load-announcements.js';
import {createDescribedPeer} from './described-peer.js';

type AnnouncementsWorld = {
	ownLoad: CellLoad;
	ownerOfSouth: Peer;
	receivers: string[];
	moreOwners: readonly Peer[];
	announce: () => void;
	announcementsClock: Clock | undefined;
};

const waitingMilliseconds = 20;
const calmLoad: CellLoad = {
	free: [], backlogMilliseconds: 0, isShortOfCapacity: false, kindFactors: {},
};
const intervalMilliseconds = 10;

Given('an owner of {string} with an owner of {string} and a daemon without a cell as peers', function (this: AnnouncementsWorld, own: string, other: string) {
	this.announcementsClock = install({toFake: ['performance']});
	this.ownLoad = calmLoad;
	this.ownerOfSouth = createDescribedPeer({address: other, zone: other, owned: new Map([[other, calmLoad]])});
	this.receivers = [];
	this.moreOwners = [];
	this.announce = createLoadAnnouncements({
		claims: () => [{
			cell: own, token: 1, term: 1, load: this.ownLoad,
		}],
		peers: () => [this.ownerOfSouth, ...this.moreOwners, createDescribedPeer({address: 'idle', zone: 'idle'})],
		send: address => {
			this.receivers.push(address);
		},
	});
});

After(function (this: Partial<AnnouncementsWorld>) {
	this.announcementsClock?.uninstall();
});

Given('{int} more owners', function (this: AnnouncementsWorld, count: number) {
	this.moreOwners = Array.from({length: count}, (_, index) => createDescribedPeer({address: `more-${index}`, zone: `more-${index}`, owned: new Map([[`more-${index}`, calmLoad]])}));
});

When('there is a backlog in {string}', function (this: AnnouncementsWorld, cell: string) {
	const load = {...calmLoad, backlogMilliseconds: waitingMilliseconds, isShortOfCapacity: true};
	if (cell === this.ownerOfSouth.address) {
		this.ownerOfSouth = createDescribedPeer({address: cell, zone: cell, owned: new Map([[cell, load]])});
	} else {
		this.ownLoad = load;
	}
});

When('{int} announcements are due', function (this: AnnouncementsWorld, count: number) {
	for (let due = 0; due < count; due++) {
		this.announcementsClock!.tick(intervalMilliseconds);
		this.announce();
	}
});

When('{int} announcements are due, with a change of load before each', function (this: AnnouncementsWorld, count: number) {
	for (let due = 0; due < count; due++) {
		this.ownLoad = {...this.ownLoad, free: [{service: 'sheets', factor: 1, processor: due}]};
		this.announcementsClock!.tick(intervalMilliseconds);
		this.announce();
	}
});

Then('{string} was sent {int} loads, and the daemon without a cell {int}', function (this: AnnouncementsWorld, owner: string, loads: number, none: number) {
	assert.equal(this.receivers.filter(address => address === owner).length, loads);
	assert.equal(this.receivers.filter(address => address === 'idle').length, none);
});
