import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createCell, type Cell} from '../../cells/cell.js';
import {createLeasedEndpoint, type LeasedEndpoint, type LeasedRun} from '../../cells/__tests__/leased-endpoint.js';
import {createSuspensionDetector} from '../../suspension-detector.js';
import {createPeerConfirmations, type PeerConfirmations} from '../peer-confirmations.js';

type LeaseWorld = {
	leaseClock: Clock;
	leaseOwner: Cell;
	leasedEndpoint: LeasedEndpoint;
	ownerConfirmations: PeerConfirmations;
	/** Monotonic milliseconds of the last frame of the owner that the holder has received; undefined while it hears all. */
	lastHeardSentAt: number | undefined;
};

const holder = '10.1.0.14:7720';
const firstJob = '5c0e7a21d94b36f8';
const secondJob = 'a1b2c3d4e5f60718';
const processorOfTask = 1000;
const maximumLeaseMilliseconds = 1000;
const ownerStartedAt = 1;
const holderStartedAt = 2;
const untilPolledMilliseconds = 500;
const untilSubmittedMilliseconds = 1;

/** A frame of the holder arrives that confirms what the owner sent up to a time, if the holder has heard that. */
const confirm = (world: LeaseWorld, sentAt: number): void => {
	world.ownerConfirmations.recordFrame({address: holder, startedAt: holderStartedAt}, {
		sentAt: performance.now(), heard: {startedAt: ownerStartedAt, sentAt: Math.min(sentAt, world.lastHeardSentAt ?? sentAt)},
	});
};

Given('an owner with 1 endpoint with room for 1 task, and a holder that answers requests after {int} ms', async function (this: LeaseWorld, milliseconds: number) {
	this.leaseClock = install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate', 'Date'], shouldClearNativeTimers: true});
	this.leasedEndpoint = createLeasedEndpoint();
	this.lastHeardSentAt = undefined;
	this.ownerConfirmations = createPeerConfirmations({
		address: '10.1.0.13:7720',
		startedAt: ownerStartedAt,
		lastSuspendedAt: createSuspensionDetector(),
		readUpTo: () => performance.now(),
		beforeConfirming() {
			// No caller leaves here.
		},
		sendRequest: () => {
			const sentAt = performance.now();
			setTimeout(() => {
				confirm(this, sentAt);
			}, milliseconds);
		},
		onConfirmed: () => {
			this.leaseOwner.resume();
		},
	});
	this.leaseOwner = createCell({
		name: 'north',
		token: () => 1,
		holdMaximumMilliseconds: maximumLeaseMilliseconds,
		unconfirmedRunMilliseconds: 1300,
		remotePenalty: 1,
		lastConfirmedBy: this.ownerConfirmations.confirmedBy,
		requestConfirmation: this.ownerConfirmations.request,
		kindFactors: () => ({}),
		createCalls: () => this.leasedEndpoint.calls,
		notify() {
			// The runs show what was decided.
		},
		otherCells: () => [],
		onRedirected() {
			throw new Error('there is no other cell');
		},
		onFenced() {
			throw new Error('the endpoint has a single owner');
		},
		onDecision() {
			// The runs show what was decided.
		},
		onTaskWait() {
			// Waits are not checked here.
		},
	});
	this.leaseOwner.install([{
		identifier: 'i-1', startedAt: 1, service: 'sheets', address: '', zone: 'north', isDraining: false,
		room: {processor: processorOfTask, memoryMegabytes: 1024, accelerators: 0}, labels: ['a'],
	}]);
	await this.leaseClock.tickAsync(untilPolledMilliseconds);
});

After(function (this: Partial<LeaseWorld>) {
	this.leaseOwner?.close();
	this.leaseClock?.uninstall();
});

const submit = async (world: LeaseWorld, identifier: string): Promise<void> => {
	world.leaseOwner.submit(holder, {
		job: {
			identifier, specification: '', steps: [{
				tasks: 1, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: 20_000, after: [],
			}],
		},
		part: '0',
		assignment: identifier === firstJob ? 1 : 2,
		assignedMillisecondsAgo: 0,
		service: 'sheets',
		queue: 'sheets',
		priority: 0,
		mostAttempts: 5,
		objectiveMilliseconds: 60_000,
		dueInMilliseconds: 60_000,
		worthlessInMilliseconds: 180_000,
		excluded: [],
		generation: 0,
		highestToken: 0,
		moves: 0,
		isCommitted: false,
	});
	await world.leaseClock.tickAsync(untilSubmittedMilliseconds);
};

Given('the holder sends frames each {int} ms that confirm frames which the owner sent {int} ms before', async function (this: LeaseWorld, interval: number, age: number) {
	setInterval(() => {
		confirm(this, performance.now() - age);
	}, interval);
	await this.leaseClock.tickAsync(interval);
});

Given('the holder sends a frame that confirms one which the owner sent {int} ms before', function (this: LeaseWorld, age: number) {
	confirm(this, performance.now() - age);
});

When('a job is submitted', async function (this: LeaseWorld) {
	await submit(this, firstJob);
});

When('a second job is submitted, which waits', async function (this: LeaseWorld) {
	await submit(this, secondJob);
});

When('the owner runs for {int} ms', async function (this: LeaseWorld, milliseconds: number) {
	await this.leaseClock.tickAsync(milliseconds);
});

const suspend = ({leaseClock}: LeaseWorld, milliseconds: number): void => {
	// The time of day, and the endpoint's clock, count a suspension of the owner; its steady clock doesn't.
	leaseClock.setSystemTime(Date.now() + milliseconds);
};

When('the owner is suspended for {int} ms', function (this: LeaseWorld, milliseconds: number) {
	suspend(this, milliseconds);
});

When('the holder no longer hears the owner, but the owner hears the holder', function (this: LeaseWorld) {
	this.lastHeardSentAt = performance.now();
});

When('the holder no longer hears the owner, and the owner is suspended for {int} ms', function (this: LeaseWorld, milliseconds: number) {
	this.lastHeardSentAt = performance.now();
	suspend(this, milliseconds);
});

When('the holder hears the owner again', function (this: LeaseWorld) {
	this.lastHeardSentAt = undefined;
});

const runsOf = ({leasedEndpoint}: LeaseWorld, job: string): readonly LeasedRun[] => leasedEndpoint.runs.filter(({task}) => task.job === job);

const isRunning = (world: LeaseWorld, job: string): boolean => runsOf(world, job).some(({endedAt}) => endedAt === Number.POSITIVE_INFINITY);

Then('the job has run all the while since its start', function (this: LeaseWorld) {
	assert.deepEqual(runsOf(this, firstJob).map(({endedAt}) => endedAt), [Number.POSITIVE_INFINITY]);
});

Then('the job runs', function (this: LeaseWorld) {
	assert.ok(isRunning(this, firstJob));
});

Then('the job runs nowhere', function (this: LeaseWorld) {
	assert.equal(runsOf(this, firstJob).length, 1);
	assert.ok(!isRunning(this, firstJob));
});

Then('the second job never ran', function (this: LeaseWorld) {
	assert.deepEqual(runsOf(this, secondJob), []);
});

Then('one of the jobs runs', function (this: LeaseWorld) {
	assert.ok(isRunning(this, secondJob) || isRunning(this, firstJob));
});
