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
	receiveKeepAlive: (keepAlive: KeepAlive, described: Heartbeat) => void;
	receiveFrame: (described: Heartbeat, frame: FleetFrame) => void;
	lost: Array<readonly [address: string, cause: string]>;
};

/** Time between two frames. */
const frameMilliseconds = 200;

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const heartbeatFrom = (address: string, silentAfterMilliseconds: number): Heartbeat => ({
	kind: FleetMessageKind.Heartbeat, instance: address, address, zone: 'south', startedAt: 1, processor: 1000, silentAfterMilliseconds, neededSilenceMilliseconds: silentAfterMilliseconds,
	claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
});

const keepAliveOf = (silentAfterMilliseconds: number, neededSilenceMilliseconds: number): KeepAlive => ({
	kind: FleetMessageKind.KeepAlive, silentAfterMilliseconds, neededSilenceMilliseconds, configurationVersion: 1,
});

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
		startedAt: 1,
		view: createFleetView(),
		serve: async (_, handlers) => {
			this.receiveMessage = handlers.onMessage;
			this.receiveKeepAlive = handlers.onKeepAlive;
			this.receiveFrame = handlers.onFrameProcessed;
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

Given('the stream to {string} opens at {int} ms', function (this: LinksWorld, name: string, at: number) {
	this.clock.tick(at - performance.now());
	this.streams.get(name)!.onConnected();
});

/** A frame of a peer that confirms the last one of ours up to a time, or none. */
const receiveFrame = (world: LinksWorld, name: string, confirmedAt: number | undefined, startedAt = 1): void => {
	const keepAlive = keepAliveOf(world.silentAfterMilliseconds, world.silentAfterMilliseconds);
	const described = heartbeatFrom(name, world.silentAfterMilliseconds);
	world.receiveKeepAlive(keepAlive, described);
	world.receiveFrame(described, {sentAt: performance.now(), messages: [keepAlive], ...(confirmedAt !== undefined && {heard: {startedAt, sentAt: confirmedAt}})});
};

/** Each 200 ms a frame is sent, a frame of the peer arrives 100 ms later, and streams are reviewed. */
const exchangeFrames = (world: LinksWorld, name: string, until: number, confirm: (sentAt: number) => void): void => {
	while (performance.now() < until) {
		const sentAt = performance.now();
		world.streams.get(name)!.onSent(sentAt);
		world.clock.tick(frameMilliseconds / 2);
		confirm(sentAt);
		world.clock.tick(frameMilliseconds / 2);
		world.links.resetUnheardStreams();
	}
};

When('frames are sent to {string}, which confirms each, until {int} ms', function (this: LinksWorld, name: string, until: number) {
	exchangeFrames(this, name, until, sentAt => {
		receiveFrame(this, name, sentAt);
	});
});

When('frames are sent to {string}, which confirms none of them but sends its own, until {int} ms', function (this: LinksWorld, name: string, until: number) {
	exchangeFrames(this, name, until, () => {
		receiveFrame(this, name, undefined);
	});
});

When('frames are sent to {string}, which confirms frames of an earlier life of this daemon, until {int} ms', function (this: LinksWorld, name: string, until: number) {
	exchangeFrames(this, name, until, sentAt => {
		receiveFrame(this, name, sentAt, 0);
	});
});

When('frames are sent to {string}, which sends nothing, until {int} ms', function (this: LinksWorld, name: string, until: number) {
	exchangeFrames(this, name, until, () => {
		// The peer stands still.
	});
});

Then('no stream was broken off', function (this: LinksWorld) {
	assert.deepEqual(this.brokenOff, []);
});

Then('the stream to {string} was broken off', function (this: LinksWorld, name: string) {
	assert.ok(this.brokenOff.length > 0);
	assert.deepEqual([...new Set(this.brokenOff)], [name]);
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
