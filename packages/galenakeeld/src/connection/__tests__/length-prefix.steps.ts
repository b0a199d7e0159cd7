import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then, When} from '@cucumber/cucumber';
import {FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import {createFrameSplitter, prefixLength} from '../length-prefix.js';

type SplitWorld = {
	frames: readonly Uint8Array[];
	splitFrames: Uint8Array[];
	receivePreface: () => void;
};

Given('frames of {string} bytes', function (this: SplitWorld, lengths: string) {
	this.frames = lengths.split(',').map((length, position) => Buffer.alloc(Number(length), position + 1));
});

When('they arrive in chunks of {int} bytes', function (this: SplitWorld, bytes: number) {
	const sent = Buffer.concat(this.frames.map(frame => prefixLength(frame)));
	const split = createFrameSplitter();
	this.splitFrames = [];
	for (let start = 0; start < sent.length; start += bytes) {
		this.splitFrames.push(...split(sent.subarray(start, start + bytes)));
	}
});

Then('the frames are the same', function (this: SplitWorld) {
	assert.equal(this.splitFrames.length, this.frames.length);
	for (const [position, frame] of this.frames.entries()) {
		assert.equal(Buffer.compare(frame, this.splitFrames[position]!), 0);
	}
});

When(String.raw`the connection preface of HTTP\/2 arrives`, function (this: SplitWorld) {
	const split = createFrameSplitter();
	this.receivePreface = () => {
		split(Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'));
	};
});

Then('it is rejected as malformed', function (this: SplitWorld) {
	assert.throws(this.receivePreface, error => isFault(error, FaultKind.MalformedRequest));
});
