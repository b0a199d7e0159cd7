import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {Then, When} from '@cucumber/cucumber';
import type {HttpReply} from '@galenakeel/stand-ins/connection/http-json.js';
import {silenceSignal} from '@galenakeel/stand-ins/process/peer-stream-signals.js';
import type {PlatformDaemon, PlatformFleet} from '../platform-fleet.js';

/** The fleet is started by the steps of jobs that are sent again, and stopped by those of the platform path. */
type SilentStreamWorld = {
	fleet: PlatformFleet;
	answers: Array<Promise<HttpReply>>;
	resentJob: unknown;
	owningDaemon: PlatformDaemon;
	holdingDaemon: PlatformDaemon;
	submittedAt: number;
};

const identifier = '00000000000000ab';
const answerMilliseconds = 15_000;

When('the streams that the owner receives go silent, and the job is submitted', function (this: SilentStreamWorld) {
	this.owningDaemon.child().kill(silenceSignal);
	this.submittedAt = performance.now();
	this.answers.push(this.fleet.submit(this.holdingDaemon, identifier, this.resentJob, answerMilliseconds));
});

Then('the job is answered as complete within {int} ms', {timeout: 20_000}, async function (this: SilentStreamWorld, milliseconds: number) {
	const {status, text} = await this.answers[0]!;
	assert.equal(status, 200, text);
	assert.equal((JSON.parse(text) as {State: string}).State, 'complete');
	const took = Math.round(performance.now() - this.submittedAt);
	assert.ok(took <= milliseconds, `answered after ${took} ms`);
});
