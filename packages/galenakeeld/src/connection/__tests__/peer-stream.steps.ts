import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {FleetMessageKind, type Heartbeat} from '@galenakeel/model/connection/fleet-message.js';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {createPeerStream, serveFleet, type PeerStream} from '../fleet-service.js';

type StreamWorld = {
	address: string;
	stream: PeerStream;
	/** Heartbeat intervals in milliseconds, in order; the last one applies from then on. */
	intervals: number[];
	heartbeatsCreated: number;
	heartbeatsReceived: number;
	connected: Deferred<true>;
	connectedAgain: Deferred<true>;
	ended: Promise<true>;
	stop: (() => void) | undefined;
};

const firstPort = 21_300;
let nextPort = firstPort;

const heartbeat: Heartbeat = {
	kind: FleetMessageKind.Heartbeat, instance: 'entry-1', address: '127.0.0.1:1', zone: 'north', startedAt: 1, processor: 1000, silentAfterMilliseconds: 700, claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
};

const isDoneWithin = async (done: Promise<true>, milliseconds: number): Promise<boolean> =>
	Promise.race([done, sleep(milliseconds, false, {ref: false})]);

Given('a stream to an address where nothing listens, with a pause of {int} ms between connection attempts', function (this: StreamWorld, milliseconds: number) {
	nextPort++;
	this.address = `127.${process.pid % 200}.7.1:${nextPort}`;
	this.stop = undefined;
	this.connected = createDeferred<true>();
	this.connectedAgain = createDeferred<true>();
	this.intervals = [100];
	this.heartbeatsCreated = 0;
	this.heartbeatsReceived = 0;
	let connections = 0;
	this.stream = createPeerStream(this.address, {
		createHeartbeat: () => {
			this.heartbeatsCreated++;
			return heartbeat;
		},
		heartbeatIntervalMilliseconds: () => this.intervals[Math.min(this.heartbeatsCreated, this.intervals.length - 1)]!,
		batchMilliseconds: 1,
		redialMilliseconds: () => milliseconds,
		onConnected: () => {
			connections++;
			(connections === 1 ? this.connected : this.connectedAgain).resolve(true);
		},
		onBroken() {
			// The first connection attempt is expected to fail.
		},
		onRefused() {
			// The first connection attempt is refused, as the peer has not started.
		},
	});
	const run = async (): Promise<true> => {
		await this.stream.run();
		return true;
	};

	this.ended = run();
});

After(function (this: Partial<StreamWorld>) {
	this.stream?.close();
	this.stop?.();
});

When('the peer starts after {int} ms and its heartbeat arrives', async function (this: StreamWorld, milliseconds: number) {
	await sleep(milliseconds);
	this.stop = await serveFleet(this.address, {
		onMessage: () => {
			this.heartbeatsReceived++;
		},
		onOpened() {
			// The scenarios check only connections and heartbeats.
		},
		onBroken() {
			// Streams break when the scenario ends.
		},
		onReadError() {
			// A reset connection ends without closing its stream.
		},
	});
	this.stream.dialNow();
});

When('the stream is closed after {int} ms', async function (this: StreamWorld, milliseconds: number) {
	await sleep(milliseconds);
	this.stream.close();
});

Then('the stream is connected within {int} ms', async function (this: StreamWorld, milliseconds: number) {
	assert.ok(await isDoneWithin(this.connected.promise, milliseconds));
});

Given('its heartbeat interval is {int} ms at first, and {int} ms after the first heartbeat', function (this: StreamWorld, first: number, later: number) {
	this.intervals = [first, later];
});

Then('{int} heartbeats arrive within {int} ms, and no third within {int} ms', async function (this: StreamWorld, count: number, milliseconds: number, quietMilliseconds: number) {
	const until = performance.now() + milliseconds;
	while (this.heartbeatsReceived < count && performance.now() < until) {
		await sleep(10);
	}

	assert.equal(this.heartbeatsReceived, count);
	await sleep(quietMilliseconds);
	assert.equal(this.heartbeatsReceived, count);
});

When('the connection is reset', function (this: StreamWorld) {
	this.stream.resetConnection('the peer is silent');
});

Then('the stream is reconnected within {int} ms', async function (this: StreamWorld, milliseconds: number) {
	assert.ok(await isDoneWithin(this.connectedAgain.promise, milliseconds));
});

Then('its task ends within {int} ms', async function (this: StreamWorld, milliseconds: number) {
	assert.ok(await isDoneWithin(this.ended, milliseconds));
});
