import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {FleetMessageKind, type CellLoad, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {createEndpointListAnnouncements, type EndpointListAnnouncements} from '../endpoint-list-announcements.js';
import type {Peer} from '../fleet-view.js';
import {createLoadAnnouncements} from '../load-announcements.js';
import {createDescribedPeer} from './described-peer.js';

type UpdatesWorld = {
	peers: readonly Peer[];
	listed: Map<string, readonly EndpointEntry[]>;
	load: CellLoad;
	sent: Array<readonly [address: string, kind: FleetMessageKind]>;
	lists: EndpointListAnnouncements;
	announceLoads: () => void;
};

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const createEntry = (identifier: string, zone: string): EndpointEntry => ({
	identifier, startedAt: 1, service: 'sheets', address: '10.1.0.1:80', zone, isDraining: false, room: {processor: 1000, memoryMegabytes: 1, accelerators: 0}, labels: [],
});

Given('a daemon that owns the cell {string}, and the peers', function (this: UpdatesWorld, cell: string, table: DataTable) {
	this.peers = table.hashes().map(row => createDescribedPeer({address: row.address!, zone: row.zone!, owned: new Map(row.owns! === '' ? [] : [[row.owns!, undefined]])}));
	this.listed = new Map();
	this.load = {
		free: [], backlogMilliseconds: 0, isShortOfCapacity: false, kindFactors: {},
	};
	this.sent = [];
	const send = (address: string, message: FleetMessage): void => {
		this.sent.push([address, message.kind]);
	};

	this.lists = createEndpointListAnnouncements({
		ownedCells: () => [cell], endpointsOf: name => this.listed.get(name), peers: () => this.peers, send,
	});
	this.announceLoads = createLoadAnnouncements({
		claims: () => [{
			cell, token: 1, term: 1, load: this.load,
		}],
		peers: () => this.peers,
		send,
	});
});

Given('the zone {string} has the endpoints {string}', function (this: UpdatesWorld, zone: string, names: string) {
	this.listed.set(zone, splitNames(names).map(name => createEntry(name, zone)));
});

Given('the owner {string} is short of capacity', function (this: UpdatesWorld, address: string) {
	const loads = new Map([['south', {...this.load, isShortOfCapacity: true}]]);
	this.peers = this.peers.map(peer => peer.address === address ? {...peer, loads} : peer);
});

Given('{int} thousandths are free', function (this: UpdatesWorld, processor: number) {
	this.load = {...this.load, free: [{service: 'sheets', factor: 1, processor}]};
});

When('the lists are announced', function (this: UpdatesWorld) {
	this.lists.announce();
});

When('the loads are announced', function (this: UpdatesWorld) {
	this.announceLoads();
});

When('the loads are announced in {int} turns', function (this: UpdatesWorld, turns: number) {
	for (let turn = 0; turn < turns; turn++) {
		this.announceLoads();
	}
});

When('the peer {string} is synchronized', function (this: UpdatesWorld, address: string) {
	this.lists.synchronize(this.peers.find(peer => peer.address === address));
});

const receiversOf = ({sent}: UpdatesWorld, kind: FleetMessageKind): string =>
	sent.filter(([, one]) => one === kind).map(([address]) => address).join(', ');

Then('the endpoints were sent to {string}', function (this: UpdatesWorld, receivers: string) {
	assert.equal(receiversOf(this, FleetMessageKind.Endpoints), receivers);
});

Then('the loads were sent to {string}', function (this: UpdatesWorld, receivers: string) {
	assert.equal(receiversOf(this, FleetMessageKind.Load), receivers);
});
