import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {FleetMessageKind, type Heartbeat, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import {shortInterval} from '../heartbeat-interval.js';
import {createFleetLinks, type FleetLinks} from '../fleet-links.js';
import {createFleetView} from '../fleet-view.js';

type LinksWorld = {
	clock: Clock;
	links: FleetLinks;
	receiveMessage: (message: FleetMessage, from: string) => void;
	silentAfterMilliseconds: number;
	brokenOff: string[];
	dialled: string[];
	lost: Array<readonly [address: string, cause: string]>;
};

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const heartbeatFrom = (address: string, silentAfterMilliseconds: number): Heartbeat => ({
	kind: FleetMessageKind.Heartbeat, instance: address, address, zone: 'south', startedAt: 1, processor: 1000, silentAfterMilliseconds,
	claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
});

Given('links to the peers {string} that lose a peer after {int} ms without heartbeats', async function (this: LinksWorld, names: string, milliseconds: number) {
	this.clock = install({toFake: ['performance']});
	this.brokenOff = [];
	this.dialled = [];
	this.lost = [];
	this.silentAfterMilliseconds = milliseconds;
	this.links = await createFleetLinks({
		address: 'n1',
		view: createFleetView(),
		serve: async (_, handlers) => {
			this.receiveMessage = handlers.onMessage;
			return () => {
				// Nothing was opened.
			};
		},
		openStream: address => ({
			isConnected: () => false,
			send() {
				// Sent messages are not checked.
			},
			async run() {
				// Nothing is opened.
			},
			dialNow: () => {
				this.dialled.push(address);
			},
			resetConnection: () => {
				this.brokenOff.push(address);
			},
			close() {
				// Nothing was opened.
			},
		}),
		createHeartbeat: () => heartbeatFrom('n1', milliseconds),
		heartbeatIntervalTo: () => shortInterval,
		onMessage() {
			// Only heartbeats are sent.
		},
		onPeerReachable() {
			// Not checked.
		},
		onRefused() {
			// No real streams are opened.
		},
		onPeerLost: ({address}, cause) => {
			this.lost.push([address, cause]);
		},
		onStreamOpened() {
			// No real streams are opened.
		},
		onBroken() {
			// No real streams are opened.
		},
		onFrameSent() {
			// No frames are sent.
		},
		onFrameReceived() {
			// Messages arrive without frames.
		},
	});
	this.links.connect(splitNames(names));
});

After(function (this: Partial<LinksWorld>) {
	if (this.links) {
		this.clock!.uninstall();
	}
});

Given('heartbeats of {string} at {int} ms', function (this: LinksWorld, names: string, at: number) {
	this.clock.tick(at - performance.now());
	for (const name of splitNames(names)) {
		this.receiveMessage(heartbeatFrom(name, this.silentAfterMilliseconds), name);
	}
});

When('silent peers are removed at {int} ms', function (this: LinksWorld, at: number) {
	this.clock.tick(at - performance.now());
	this.links.removeSilentPeers();
});

Then('the streams to {string} were broken off', function (this: LinksWorld, names: string) {
	assert.deepEqual(this.brokenOff, splitNames(names));
});

Then('the streams to {string} were dialled at once', function (this: LinksWorld, names: string) {
	assert.deepEqual(this.dialled, splitNames(names));
});

Then('the peers {string} were lost as {string}', function (this: LinksWorld, names: string, cause: string) {
	assert.deepEqual(this.lost, splitNames(names).map(name => [name, cause]));
});
