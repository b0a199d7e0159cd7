import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {setImmediate as turn} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {HeardFrame} from '@galenakeel/model/connection/fleet-message.js';
import {createSuspensionDetector} from '../../suspension-detector.js';
import {createPeerConfirmations, type PeerConfirmations} from '../peer-confirmations.js';
import {createReadingTurns, type ReadingTurns} from '../reading-turns.js';

type ConfirmationsWorld = {
	confirmationClock: Clock;
	confirmations: PeerConfirmations;
	turns: ReadingTurns;
	peerStartedAt: number;
	requested: string[];
	answeredRequests: number;
};

const self = '10.1.0.13:7720';
const peer = '10.1.0.14:7720';
const startedAt = 1_000_000;

const ignore = (): void => {
	// No caller leaves here.
};

const earlierStartedAt = 900_000;

const receive = ({confirmations, peerStartedAt}: ConfirmationsWorld, sentAt: number, heard?: HeardFrame): void => {
	confirmations.recordFrame({address: peer, startedAt: peerStartedAt}, {sentAt, ...(heard && {heard})});
};

Given('a daemon that has run for {int} ms, and a peer', function (this: ConfirmationsWorld, milliseconds: number) {
	this.confirmationClock = install({now: startedAt, toFake: ['performance', 'Date']});
	this.confirmationClock.tick(milliseconds);
	this.peerStartedAt = startedAt + 1;
	this.requested = [];
	this.answeredRequests = 0;
	this.turns = createReadingTurns(ignore);
	this.confirmations = createPeerConfirmations({
		address: self,
		startedAt,
		lastSuspendedAt: createSuspensionDetector(),
		readUpTo: this.turns.readUpTo,
		beforeConfirming: ignore,
		sendRequest: address => {
			this.requested.push(address);
		},
		onConfirmed: () => {
			this.answeredRequests++;
		},
	});
});

After(function (this: Partial<ConfirmationsWorld>) {
	this.confirmationClock?.uninstall();
});

When('a frame of the peer arrives that confirms nothing', function (this: ConfirmationsWorld) {
	receive(this, performance.now());
});

When('a frame of the peer arrives that confirms the frame of {int} ms', function (this: ConfirmationsWorld, sentAt: number) {
	receive(this, performance.now(), {startedAt, sentAt});
});

When('a frame of the peer arrives that confirms a frame of this daemon\'s earlier life', function (this: ConfirmationsWorld) {
	receive(this, performance.now(), {startedAt: earlierStartedAt, sentAt: 1});
});

When('a frame of the peer arrives that it sent at {int} ms', function (this: ConfirmationsWorld, sentAt: number) {
	receive(this, sentAt);
});

When('the peer restarts, and a frame of it arrives that it sent at {int} ms', function (this: ConfirmationsWorld, sentAt: number) {
	this.peerStartedAt++;
	receive(this, sentAt);
});

When('the daemon is suspended for {int} ms', function (this: ConfirmationsWorld, milliseconds: number) {
	// The time of day counts a suspension, the steady clock doesn't.
	this.confirmationClock.setSystemTime(Date.now() + milliseconds);
});

When('the daemon runs on for {int} ms', function (this: ConfirmationsWorld, milliseconds: number) {
	this.confirmationClock.tick(milliseconds);
});

When('the daemon has read what arrived for it', async function (this: ConfirmationsWorld) {
	this.turns.begin();
	await turn();
});

When('a turn of the event loop begins', function (this: ConfirmationsWorld) {
	this.turns.begin();
});

When('the (next )turn ends', async () => {
	await turn();
});

When('a confirmation is requested {int} times', function (this: ConfirmationsWorld, times: number) {
	for (let time = 0; time < times; time++) {
		this.confirmations.request(peer);
	}
});

Then('nothing is confirmed', function (this: ConfirmationsWorld) {
	assert.equal(this.confirmations.confirmedBy(peer), Number.NEGATIVE_INFINITY);
});

Then('the frame of {int} ms is the last that is confirmed', function (this: ConfirmationsWorld, sentAt: number) {
	assert.equal(this.confirmations.confirmedBy(peer), sentAt);
});

Then('the frame of {int} ms is confirmed to the peer', function (this: ConfirmationsWorld, sentAt: number) {
	assert.deepEqual(this.confirmations.heardFrom(peer), {startedAt: this.peerStartedAt, sentAt});
});

Then('the daemon has confirmed its own turn of {int} ms', function (this: ConfirmationsWorld, at: number) {
	assert.equal(this.confirmations.confirmedBy(self), at);
});

Then('the daemon has confirmed nothing of its own', function (this: ConfirmationsWorld) {
	assert.equal(this.confirmations.confirmedBy(self), Number.NEGATIVE_INFINITY);
});

Then('nothing was confirmed to the peer', function (this: ConfirmationsWorld) {
	assert.equal(this.confirmations.confirmedTo(peer), Number.NEGATIVE_INFINITY);
});

Then('the last frame that was confirmed to the peer was processed at {int} ms', function (this: ConfirmationsWorld, processedAt: number) {
	assert.equal(this.confirmations.confirmedTo(peer), processedAt);
});

Then('the daemon has confirmed up to {int} ms to itself', function (this: ConfirmationsWorld, at: number) {
	assert.equal(this.confirmations.confirmedTo(self), at);
});

Then('{int} request(s) was/were sent', function (this: ConfirmationsWorld, count: number) {
	assert.deepEqual(this.requested, Array.from({length: count}, () => peer));
});

Then('{int} request(s) was/were answered', function (this: ConfirmationsWorld, count: number) {
	assert.equal(this.answeredRequests, count);
});
