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
const parseTimes = (text: string): readonly number[] => text.split(',').map(Number);

Given('messages sent at {string} ms by the sender\'s clock', function (this: FrameWorld, times: string) {
	this.sentTimes = parseTimes(times);
});

When('they arrive at {string} ms by the receiver\'s clock', function (this: FrameWorld, times: string) {
	const isDelayed = createDelayDetector(maximumDelayMilliseconds);
	this.delayed = parseTimes(times).flatMap((receivedAt, position) => isDelayed(this.sentTimes[position]!, receivedAt) ? [position + 1] : []);
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
