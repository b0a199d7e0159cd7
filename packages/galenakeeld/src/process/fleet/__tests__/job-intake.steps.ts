import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {Given, Then, When} from '@cucumber/cucumber';
import {JobEnd} from '@galenakeel/model/request/job.js';
import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';
import type {JobAnswer} from '../../../request/job-answer.js';
import {createCallerWaits} from '../caller-waits.js';
import {createHeldJobs, HolderEvent} from '../held-jobs.js';
import {createJobIntake, refusalOf, type JobIntake} from '../job-intake.js';

type IntakeWorld = {
	intake: JobIntake;
	configuration: QueueConfiguration;
	confirmedMillisecondsAgo: number;
	isNewest: boolean;
	answers: JobAnswer[];
	/** Ends the job that is held as complete. */
	complete: () => void;
	/** What the caller was told. */
	told: Promise<JobAnswer>;
	isAcknowledged: boolean;
};

const host = 'sheets.example';
const job = {identifier: '5c0e7a21d94b36f8', specification: '', steps: []};

const fail = (): never => {
	throw new Error('no job is submitted here');
};

Given('a daemon whose configuration has the path {string} and was confirmed {int} ms ago', function (this: IntakeWorld, pathPrefix: string, milliseconds: number) {
	this.configuration = {
		version: 7,
		queues: [{
			name: 'sheets', host, pathPrefix, service: 'sheets', priority: 0, mostAttempts: 3, objectiveFactor: 1.6, objectiveMilliseconds: 60,
		}],
		unreadableQueues: 0,
		limits: {
			headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
		},
	};
	this.confirmedMillisecondsAgo = milliseconds;
	this.isNewest = true;
	this.answers = [];
	this.intake = createJobIntake({
		zone: 'north',
		hold: async (_job, _queue, {hold}) => {
			const {updates, release} = hold();
			this.complete = release;
			let end: JobEnd.Complete | JobEnd.Cancelled = JobEnd.Complete;
			for await (const {kind} of updates) {
				if (kind === HolderEvent.CallerDisconnected) {
					end = JobEnd.Cancelled;
					release();
				}
			}

			return {end};
		},
		configuration: {current: () => this.configuration, ageMilliseconds: () => this.confirmedMillisecondsAgo, isNewest: () => this.isNewest},
		layout: {cellsOf: zone => [zone]},
		endpointsOf: () => [],
		heldJobs: createHeldJobs(),
		owners: {awaitOwner: fail, reachableCells: fail},
		send: fail,
		callerWaits: createCallerWaits({returnMilliseconds: 1300, unconfirmedRunMilliseconds: 1060}),
		readArrivals: fail,
		successorWaitMilliseconds: 1300,
		onAnswered: ({answer}) => {
			this.answers.push(answer);
		},
		onCallerLeft() {
			// The answer shows it.
		},
		lastHeardFrom: fail,
		runsEndAt: fail,
		onDecision: fail,
	});
});

Given('a peer has told of a newer version', function (this: IntakeWorld) {
	this.isNewest = false;
});

Given('the configuration was confirmed {int} ms ago', function (this: IntakeWorld, milliseconds: number) {
	this.confirmedMillisecondsAgo = milliseconds;
});

Given('a queue of the configuration can\'t be read', function (this: IntakeWorld) {
	this.configuration = {...this.configuration, unreadableQueues: 1};
});

const submitJob = async (world: IntakeWorld, disconnected: AbortSignal): Promise<JobAnswer> =>
	world.intake.submit(job, world.configuration.queues[0]!, {disconnected, sentAfter: performance.now(), waitMilliseconds: undefined});

When('a job is held for a caller', function (this: IntakeWorld) {
	this.told = submitJob(this, new AbortController().signal);
});

When('a job is held for a caller that disconnects', function (this: IntakeWorld) {
	const caller = new AbortController();
	this.told = submitJob(this, caller.signal);
	caller.abort();
});

When('the job is cancelled', function (this: IntakeWorld) {
	this.isAcknowledged = this.intake.cancel(job.identifier, this.configuration.queues[0]!);
});

When('the job completes', async function (this: IntakeWorld) {
	this.complete();
	await this.told;
});

Then('the cancel is acknowledged', function (this: IntakeWorld) {
	assert.equal(this.isAcknowledged, true);
});

Then('the cancel is not acknowledged', function (this: IntakeWorld) {
	assert.equal(this.isAcknowledged, false);
});

Then('the job ends as {string}', async function (this: IntakeWorld, end: string) {
	assert.deepEqual(await this.told, {end});
});

Then('the job ends with an unknown outcome', async function (this: IntakeWorld) {
	assert.deepEqual(await this.told, {end: undefined});
});

When('a job is submitted for a caller that waits for {int} ms and may have sent it {int} ms ago', async function (this: IntakeWorld, waitMilliseconds: number, milliseconds: number) {
	await this.intake.submit(
		job,
		this.configuration.queues[0]!,
		{disconnected: new AbortController().signal, sentAfter: performance.now() - milliseconds, waitMilliseconds},
	);
});

Then('the job is refused as {string}', function (this: IntakeWorld, reason: string) {
	assert.deepEqual(this.answers.map(answer => refusalOf(answer)), [reason]);
});

Then('a request for {string} is refused as {string}', function (this: IntakeWorld, path: string, reason: string) {
	assert.equal(this.intake.findQueue(host, path), reason);
});

Then('a request for {string} is accepted', function (this: IntakeWorld, path: string) {
	assert.equal(typeof this.intake.findQueue(host, path), 'object');
});
