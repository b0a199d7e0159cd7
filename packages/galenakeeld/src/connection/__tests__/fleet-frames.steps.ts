import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then, When} from '@cucumber/cucumber';
import {decodeFrame} from '@galenakeel/model/connection/fleet-message.js';
import {FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import {createDelayDetector} from '../delay-detector.js';

type FrameWorld = {
	sentTimes: readonly number[];
	delayed: readonly number[];
};

const maximumDelayMilliseconds = 600;
const secondsPerHour = 3600;
const millisecondsPerSecond = 1000;
const partsPerMillion = 1_000_000;
const parseTimes = (text: string): readonly number[] => text.split(',').map(Number);

Given('messages sent at {string} ms by the sender\'s clock', function (this: FrameWorld, times: string) {
	this.sentTimes = parseTimes(times);
});

Given('messages sent each {int} s for {int} hours by the sender\'s clock', function (this: FrameWorld, seconds: number, hours: number) {
	this.sentTimes = Array.from({length: hours * secondsPerHour / seconds}, (_, position) => position * seconds * millisecondsPerSecond);
});

/** Positions of the messages that count as delayed, from 1. */
const findDelayed = (sentTimes: readonly number[], receivedTimes: readonly number[]): readonly number[] => {
	const isDelayed = createDelayDetector(maximumDelayMilliseconds);
	return receivedTimes.flatMap((receivedAt, position) => isDelayed(sentTimes[position]!, receivedAt) ? [position + 1] : []);
};

When('they arrive at {string} ms by the receiver\'s clock', function (this: FrameWorld, times: string) {
	this.delayed = findDelayed(this.sentTimes, parseTimes(times));
});

When('they arrive by a receiver\'s clock that is faster by {int} parts in a million', function (this: FrameWorld, drift: number) {
	this.delayed = findDelayed(this.sentTimes, this.sentTimes.map(sentAt => sentAt * (1 + (drift / partsPerMillion))));
});

Then('{string} of them are delayed', function (this: FrameWorld, expected: string) {
	assert.equal(this.delayed.join(', ') || 'none', expected);
});

Then('the frame {string} is rejected', (text: string) => {
	assert.throws(() => decodeFrame(Buffer.from(text)), error => isFault(error, FaultKind.MalformedRequest));
});

Then('the frame {string} contains {int} message', (text: string, count: number) => {
	assert.equal(decodeFrame(Buffer.from(text)).messages.length, count);
});
