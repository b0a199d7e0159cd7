import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {awaitWholeTurn, createReadingTurns, type ReadingTurns} from '../reading-turns.js';

type TurnsWorld = {
	turnClock: Clock | undefined;
	observedTurns: ReadingTurns;
	isOver: boolean;
	sentAfter: () => number;
	acceptedInTurns: number[];
};

/** Time in which another process opens its connections. */
const openMilliseconds = 200;
const mostTurns = 1000;

const awaitImmediates = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

Given('a wait for what has arrived', function (this: TurnsWorld) {
	this.turnClock = install({toFake: ['performance', 'Date'], shouldClearNativeTimers: true});
	this.observedTurns = createReadingTurns(() => {
		// No caller leaves here.
	});
	this.isOver = false;
	const wait = async (): Promise<void> => {
		await awaitWholeTurn();
		this.isOver = true;
	};

	void wait();
});

After(function (this: Partial<TurnsWorld>) {
	this.turnClock?.uninstall();
});

When('{int} phase(s) of immediates has/have passed', async (count: number) => {
	for (let phase = 0; phase < count; phase++) {
		await awaitImmediates();
	}
});

When('a turn begins at {int} ms', function (this: TurnsWorld, at: number) {
	assert.equal(performance.now(), at);
	this.observedTurns.begin();
});

When('the turn takes {int} ms', function (this: TurnsWorld, milliseconds: number) {
	this.turnClock!.tick(milliseconds);
});

When('a connection is accepted', function (this: TurnsWorld) {
	this.sentAfter = this.observedTurns.accept();
});

When('{int} turns of {int} ms each accept the connection that was opened in the one before', async function (this: TurnsWorld, count: number, milliseconds: number) {
	for (let turn = 0; turn < count; turn++) {
		this.observedTurns.begin();
		this.sentAfter = this.observedTurns.accept();
		await awaitImmediates();
		this.turnClock!.tick(milliseconds);
	}
});

When('{int} connections have been opened at a server that stood still', async function (this: TurnsWorld, count: number) {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const open = `for (let left = ${count}; left > 0; left--) { require('node:net').connect(${port}, '127.0.0.1').on('error', () => {}).unref(); }`;
	// The process stands still until the other one has opened its connections.
	spawnSync(process.execPath, ['-e', `${open} setTimeout(() => {}, ${openMilliseconds})`]);
	this.acceptedInTurns = [];
	let turn = 0;
	server.on('connection', socket => {
		this.acceptedInTurns.push(turn);
		socket.destroy();
	});
	while (this.acceptedInTurns.length < count && turn < mostTurns) {
		await awaitImmediates();
		turn++;
	}

	server.close();
});

Then('they are accepted in {int} turns', function (this: TurnsWorld, turns: number) {
	assert.equal(new Set(this.acceptedInTurns).size, turns);
});

Then('what is read there was sent after {int} ms', function (this: TurnsWorld, at: number) {
	assert.equal(this.sentAfter(), at);
});

Then('what is read there was sent at most {int} ms ago', function (this: TurnsWorld, milliseconds: number) {
	const age = performance.now() - this.sentAfter();
	assert.ok(age <= milliseconds, `it may be ${age} ms old`);
});

Then('the wait goes on', function (this: TurnsWorld) {
	assert.equal(this.isOver, false);
});

Then('the wait is over', function (this: TurnsWorld) {
	assert.equal(this.isOver, true);
});

Then('the longest turn took {int} ms', function (this: TurnsWorld, milliseconds: number) {
	assert.equal(this.observedTurns.takeLongest(), milliseconds);
	assert.equal(this.observedTurns.takeLongest(), 0);
});

Then('what arrived up to {int} ms is read', function (this: TurnsWorld, at: number) {
	assert.equal(this.observedTurns.readUpTo(), at);
});
