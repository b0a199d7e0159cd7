import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {
	FleetMessageKind, type FleetFrame, type FleetMessage, type Heartbeat, type KeepAlive,
} from '@galenakeel/model/connection/fleet-message.js';
import type {createPeerStream} from '../../../connection/fleet-service.js';
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
	/** Peers whose streams had their interval reviewed. */
	reviewed: string[];
	reachable: string[];
	revision: number;
	streams: Map<string, Parameters<typeof createPeerStream>[1]>;
	sentKinds: FleetMessageKind[];
	frameProcessed: (described: Heartbeat, frame: FleetFrame) => void;
	receiveKeepAlive: (keepAlive: KeepAlive, described: Heartbeat) => void;
	lost: Array<readonly [address: string, cause: string]>;
};

const ownStartedAt = 7;

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const heartbeatFrom = (address: string, silentAfterMilliseconds: number): Heartbeat => ({
	kind: FleetMessageKind.Heartbeat, instance: address, address, zone: 'south', startedAt: 1, processor: 1000, silentAfterMilliseconds, neededSilenceMilliseconds: silentAfterMilliseconds,
	claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
});

const keepAliveOf = (silentAfterMilliseconds: number, neededSilenceMilliseconds: number): KeepAlive => ({kind: FleetMessageKind.KeepAlive, silentAfterMilliseconds, neededSilenceMilliseconds});

Given('links to the peers {string} that lose a peer after {int} ms without heartbeats', async function (this: LinksWorld, names: string, milliseconds: number) {
	this.clock = install({toFake: ['performance']});
	this.brokenOff = [];
	this.dialled = [];
	this.reviewed = [];
	this.reachable = [];
	this.revision = 1;
	this.streams = new Map();
	this.lost = [];
	this.silentAfterMilliseconds = milliseconds;
	this.links = await createFleetLinks({
		address: 'n1',
		startedAt: ownStartedAt,
		view: createFleetView(),
		serve: async (_, handlers) => {
			this.frameProcessed = handlers.onFrameProcessed;
			this.receiveMessage = handlers.onMessage;
			this.receiveKeepAlive = handlers.onKeepAlive;
			return () => {
				// Nothing was opened.
			};
		},
		openStream: (address, streamOptions) => ({
			// Called for each address once.
			isConnected: () => this.streams.has(address),
			send() {
				// Sent messages are not checked.
			},
			run: async () => {
				this.streams.set(address, streamOptions);
			},
			reviewInterval: () => {
				this.reviewed.push(address);
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
		createKeepAlive: () => keepAliveOf(milliseconds, milliseconds),
		descriptionRevision: () => this.revision,
		heartbeatIntervalTo: () => shortInterval,
		heardFrom: () => undefined,
		onFrameProcessed() {
			// Messages arrive without frames.
		},
		onMessage() {
			// Only heartbeats are sent.
		},
		onPeerReachable: ({address}) => {
			this.reachable.push(address);
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

const receiveKeepAlives = (world: LinksWorld, names: string, at: number, neededSilence: number): void => {
	world.clock.tick(at - performance.now());
	for (const name of splitNames(names)) {
		world.receiveKeepAlive(keepAliveOf(world.silentAfterMilliseconds, neededSilence), heartbeatFrom(name, world.silentAfterMilliseconds));
	}
};

Given('keep-alives of {string} at {int} ms', function (this: LinksWorld, names: string, at: number) {
	receiveKeepAlives(this, names, at, this.silentAfterMilliseconds);
});

Given('keep-alives of {string} at {int} ms that need heartbeats within {int} ms', function (this: LinksWorld, names: string, at: number, milliseconds: number) {
	receiveKeepAlives(this, names, at, milliseconds);
});

const takeHeartbeats = (world: LinksWorld, count: number): void => {
	const [stream] = [...world.streams.values()];
	world.sentKinds = Array.from({length: count}, () => stream!.createHeartbeat().kind);
};

When('the stream to {string} opens and {int} heartbeats are due', function (this: LinksWorld, name: string, count: number) {
	this.streams.get(name)!.onConnected();
	takeHeartbeats(this, count);
});

When('the description changes and {int} heartbeats are due', function (this: LinksWorld, count: number) {
	this.revision++;
	takeHeartbeats(this, count);
});

When('{int} ms pass and {int} heartbeats are due', function (this: LinksWorld, milliseconds: number, count: number) {
	this.clock.tick(milliseconds);
	takeHeartbeats(this, count);
});

Then('{string} was sent {string}', function (this: LinksWorld, name: string, kinds: string) {
	assert.ok(this.streams.has(name));
	assert.equal(this.sentKinds.map(kind => kind === FleetMessageKind.Heartbeat ? 'heartbeat' : 'keep-alive').join(', '), kinds);
});

Then('the peers {string} became reachable', function (this: LinksWorld, names: string) {
	assert.deepEqual(this.reachable, splitNames(names));
});

Then('the interval of the stream to {string} was reviewed {int} times', function (this: LinksWorld, name: string, count: number) {
	assert.equal(this.reviewed.filter(one => one === name).length, count);
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
	assert.deepEqual(this.lost, names === '' ? [] : splitNames(names).map(name => [name, cause]));
});

/** A frame goes to each peer in the given interval, and each peer sends one that confirms what it has received up to a time. */
const exchangeFrames = (world: LinksWorld, interval: number, until: number, received: () => number | undefined): void => {
	while (performance.now() < until) {
		world.clock.tick(interval);
		for (const [address, stream] of world.streams) {
			stream.confirm(performance.now());
			const sentAt = received();
			world.frameProcessed(heartbeatFrom(address, world.silentAfterMilliseconds), {
				sentAt: performance.now(), messages: [], ...(sentAt !== undefined && {heard: {startedAt: ownStartedAt, sentAt}}),
			});
		}
	}
};

When('frames are exchanged each {int} ms until {int} ms', function (this: LinksWorld, interval: number, until: number) {
	exchangeFrames(this, interval, until, () => performance.now() - interval);
});

When('frames are exchanged each {int} ms until {int} ms, of which the peers receive none after {int} ms', function (this: LinksWorld, interval: number, until: number, lastReceivedAt: number) {
	exchangeFrames(this, interval, until, () => Math.min(lastReceivedAt, performance.now() - interval));
});

When('frames are exchanged each {int} ms until {int} ms, and the peers tell nothing of what they receive', function (this: LinksWorld, interval: number, until: number) {
	exchangeFrames(this, interval, until, () => undefined);
});

When('the process stands still until {int} ms, and frames arrive that were sent before', function (this: LinksWorld, until: number) {
	const sentAt = performance.now();
	for (const stream of this.streams.values()) {
		stream.confirm(sentAt);
	}

	this.clock.tick(until - sentAt);
	for (const address of this.streams.keys()) {
		this.frameProcessed(heartbeatFrom(address, this.silentAfterMilliseconds), {sentAt, messages: [], heard: {startedAt: ownStartedAt, sentAt: sentAt - 1}});
	}
});

Then('no stream was broken off', function (this: LinksWorld) {
	assert.deepEqual(this.brokenOff, []);
});

Then('the stream to {string} was broken off once', function (this: LinksWorld, name: string) {
	assert.deepEqual(this.brokenOff, [name]);
});
