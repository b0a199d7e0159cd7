import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {FleetMessageKind, type Heartbeat} from '@galenakeel/model/connection/fleet-message.js';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {createPeerStream, serveFleet, type PeerStream} from '../fleet-service.js';
import {prefixLength} from '../length-prefix.js';

type StreamWorld = {
	address: string;
	stream: PeerStream;
	/** Heartbeat intervals in milliseconds, in order; the last one applies from then on. */
	intervals: number[];
	heartbeatsCreated: number;
	heartbeatsReceived: number;
	/** Number of frames without a heartbeat. */
	contacts: number;
	framesSent: number;
	framesReceived: number;
	refusals: number;
	breakReasons: string[];
	readErrors: string[];
	/** Resolves when the server has closed a connection that the test opened. */
	otherEnded: Promise<true>;
	connected: Deferred<true>;
	connectedAgain: Deferred<true>;
	ended: Promise<true>;
	stop: (() => void) | undefined;
	restoreDate: (() => void) | undefined;
};

const firstPort = 21_300;
const endMilliseconds = 1000;
let nextPort = firstPort;

const heartbeat: Heartbeat = {
	kind: FleetMessageKind.Heartbeat, instance: 'entry-1', address: '127.0.0.1:1', zone: 'north', startedAt: 1, processor: 1000, silentAfterMilliseconds: 700, neededSilenceMilliseconds: 700, claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
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
	this.contacts = 0;
	this.framesSent = 0;
	this.framesReceived = 0;
	this.refusals = 0;
	this.breakReasons = [];
	this.readErrors = [];
	let connections = 0;
	this.stream = createPeerStream(this.address, {
		createHeartbeat: () => {
			this.heartbeatsCreated++;
			return heartbeat;
		},
		confirm: () => undefined,
		heartbeatIntervalMilliseconds: () => this.intervals[Math.min(this.heartbeatsCreated, this.intervals.length - 1)]!,
		batchMilliseconds: 1,
		redialMilliseconds: () => milliseconds,
		onConnected: () => {
			connections++;
			(connections === 1 ? this.connected : this.connectedAgain).resolve(true);
		},
		onBroken: detail => {
			this.breakReasons.push(detail);
		},
		onRefused: () => {
			this.refusals++;
		},
		onFrame: (messages, bytes) => {
			assert.ok(messages.length > 0 && bytes > 0);
			this.framesSent++;
		},
	});
	const run = async (): Promise<true> => {
		await this.stream.run();
		return true;
	};

	this.ended = run();
});

After(async function (this: Partial<StreamWorld>) {
	this.restoreDate?.();
	if (this.stream) {
		this.stream.close();
		this.stream.resetConnection('the scenario has ended');
		this.stop?.();
		// Later scenarios replace the clock that the stream's timers were set on.
		await isDoneWithin(this.ended!, endMilliseconds);
	}
});

When('the peer starts after {int} ms and its heartbeat arrives', async function (this: StreamWorld, milliseconds: number) {
	await sleep(milliseconds);
	this.stop = await serveFleet(this.address, {
		onMessage: () => {
			this.heartbeatsReceived++;
		},
		onKeepAlive() {
			// The scenarios send only heartbeats.
		},
		onContact: () => {
			this.contacts++;
		},
		onFrameProcessed() {
			// The scenarios count frames when they are decoded.
		},
		onOpened() {
			// The scenarios check only connections and heartbeats.
		},
		onBroken() {
			// Streams break when the scenario ends.
		},
		onReadError: detail => {
			this.readErrors.push(detail);
		},
		onFrame: (messages, bytes) => {
			assert.ok(messages.length > 0 && bytes > 0);
			this.framesReceived++;
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

Then('as many frames were observed at the sender as at the receiver', function (this: StreamWorld) {
	assert.ok(this.framesSent > 0);
	assert.equal(this.framesReceived, this.framesSent);
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

/** Waits until a condition holds, and returns whether it did. */
const isTrueWithin = async (holds: () => boolean, milliseconds: number): Promise<boolean> => {
	const until = performance.now() + milliseconds;
	while (!holds() && performance.now() < until) {
		await sleep(10);
	}

	return holds();
};

Then('a refusal is reported within {int} ms', async function (this: StreamWorld, milliseconds: number) {
	assert.ok(await isTrueWithin(() => this.refusals > 0, milliseconds));
});

Then('no refusal is reported for {int} ms', async function (this: StreamWorld, milliseconds: number) {
	const before = this.refusals;
	await sleep(milliseconds);
	assert.equal(this.refusals, before);
});

When('a peer that does not read starts', async function (this: StreamWorld) {
	const sockets: Socket[] = [];
	const server = createServer({pauseOnConnect: true}, socket => {
		sockets.push(socket);
	});
	const [host, port] = splitAddress(this.address);
	server.listen(port, host);
	await once(server, 'listening');
	this.stop = () => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	this.stream.dialNow();
});

When('{int} messages are sent, one each {int} ms', async function (this: StreamWorld, count: number, milliseconds: number) {
	for (let message = 0; message < count; message++) {
		this.stream.send({
			kind: FleetMessageKind.Cancel, cell: 'north', job: '5c0e7a21d94b36f8', part: '0', assignment: 1,
		});
		await sleep(milliseconds);
	}
});

Then('at most {int} heartbeats and at least {int} other frames have arrived', function (this: StreamWorld, heartbeats: number, frames: number) {
	// Each message that is no keep-alive is counted here.
	assert.ok(this.heartbeatsReceived - this.contacts <= heartbeats, `${this.heartbeatsReceived} messages, ${this.contacts} frames without a heartbeat`);
	assert.ok(this.contacts >= frames, `${this.contacts}`);
});

When('{int} messages of {int} characters are sent', async function (this: StreamWorld, count: number, characters: number) {
	this.breakReasons = [];
	for (let message = 0; message < count; message++) {
		this.stream.send({...heartbeat, instance: 'x'.repeat(characters)});
		await sleep(1);
	}
});

Then('the connection is broken within {int} ms, since the peer does not read', async function (this: StreamWorld, milliseconds: number) {
	assert.ok(await isTrueWithin(() => this.breakReasons.length > 0, milliseconds));
	assert.match(this.breakReasons[0]!, /does not read/v);
});

/** Opens a connection to the peer's server, and writes bytes that no stream of this build would send. */
const writeToServer = async (world: StreamWorld, chunks: readonly Uint8Array[]): Promise<Socket> => {
	const [host, port] = splitAddress(world.address);
	const socket = connect({host, port});
	socket.on('error', () => {
		// The server may reset the connection.
	});
	socket.resume();
	const awaitClose = async (): Promise<true> => {
		await once(socket, 'close');
		return true;
	};

	world.otherEnded = awaitClose();
	await once(socket, 'connect');
	for (const chunk of chunks) {
		socket.write(chunk);
	}

	return socket;
};

const encodeStarted = (sentAt: number): Uint8Array =>
	prefixLength(Buffer.from(JSON.stringify({sentAt, messages: [{kind: FleetMessageKind.Started, job: '5c0e7a21d94b36f8', part: '0'}]})));

When('a frame arrives on another connection, and one sent {int} ms before it', async function (this: StreamWorld, milliseconds: number) {
	await writeToServer(this, [encodeStarted(milliseconds), encodeStarted(0)]);
});

When('a frame arrives on another connection, and one sent {int} ms later in whose time the receiver was suspended for {int} ms', async function (this: StreamWorld, betweenMilliseconds: number, suspendedMilliseconds: number) {
	const socket = await writeToServer(this, [encodeStarted(0)]);
	await sleep(betweenMilliseconds);
	const steadyNow = Date.now;
	this.restoreDate = () => {
		Date.now = steadyNow;
	};

	// The time of day counts a suspension, the steady clock doesn't.
	Date.now = () => steadyNow() + suspendedMilliseconds;
	socket.write(encodeStarted(betweenMilliseconds));
});

When('the text {string} arrives on another connection', async function (this: StreamWorld, text: string) {
	await writeToServer(this, [Buffer.from(text)]);
});

Then('the other connection is ended within {int} ms, with the reason {string}', async function (this: StreamWorld, milliseconds: number, reason: string) {
	assert.ok(await isDoneWithin(this.otherEnded, milliseconds));
	assert.ok(this.readErrors.some(detail => detail.includes(reason)), this.readErrors.join(', '));
});

Then('{int} more heartbeats arrive within {int} ms', async function (this: StreamWorld, count: number, milliseconds: number) {
	const before = this.heartbeatsReceived;
	assert.ok(await isTrueWithin(() => this.heartbeatsReceived >= before + count, milliseconds));
});
