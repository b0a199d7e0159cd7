import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {JobOrder} from '@galenakeel/model/connection/fleet-message.js';
import {createCell, type Cell} from '../cell.js';
import {createLeasedEndpoint, type LeasedEndpoint, type LeasedRun} from './leased-endpoint.js';

type StrayWorld = {
	time: Clock;
	owner: Cell;
	tasksAtEndpoint: number;
	leasedEndpoints: readonly LeasedEndpoint[];
	/** Monotonic milliseconds at which the last message was sent that silent holders have confirmed. */
	lastConfirmedAt: Map<string, number>;
	/** Token of the present owner, if it has raised its own. */
	raisedToken: number;
	/** The endpoint that restarts, falls silent or answers late. */
	disrupted: LeasedEndpoint;
};

const processorOfTask = 1000;
const maximumLeaseMilliseconds = 1000;
const untilPolledMilliseconds = 500;
const untilStartedMilliseconds = 20;
const firstJob = '5c0e7a21d94b36f8';
const otherJob = 'a1b2c3d4e5f60718';
const thirdJob = '0718293a4b5c6d7e';

const createOrder = (identifier: string, generation: number): JobOrder => ({
	job: {
		identifier, specification: '', steps: [{
			tasks: 1, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: 5000, after: [],
		}],
	},
	part: '0',
	assignment: 1,
	assignedMillisecondsAgo: 0,
	service: 'sheets',
	queue: 'sheets',
	priority: 0,
	mostAttempts: 5,
	objectiveMilliseconds: 10_000,
	dueInMilliseconds: 10_000,
	worthlessInMilliseconds: 30_000,
	excluded: [],
	generation,
	highestToken: 0,
	moves: 0,
	isCommitted: generation > 0,
});

const installEndpoints = (world: StrayWorld, owner = world.owner): void => {
	owner.install(world.leasedEndpoints.map(({listedStartedAt}, index) => ({
		identifier: String(index), startedAt: listedStartedAt, service: 'sheets', address: '', zone: 'north', isDraining: false,
		room: {processor: world.tasksAtEndpoint * processorOfTask, memoryMegabytes: 1024, accelerators: 0}, labels: ['a'],
	})));
};

const createOwner = (world: StrayWorld, token: number): Cell => {
	const owner = createCell({
		name: 'north',
		token: () => Math.max(token, world.raisedToken),
		holdMaximumMilliseconds: maximumLeaseMilliseconds,
		unconfirmedRunMilliseconds: 1300,
		remotePenalty: 1,
		lastConfirmedBy: holder => world.lastConfirmedAt.get(holder) ?? performance.now(),
		requestConfirmation() {
			// The confirmations of holders are set above.
		},
		kindFactors: () => ({}),
		createCalls: ({identifier}) => world.leasedEndpoints[Number(identifier)]!.calls,
		notify() {
			// The runs show what was decided.
		},
		otherCells: () => [],
		onRedirected() {
			throw new Error('there is no other cell');
		},
		onFenced() {
			// The endpoints obey the owner that is created last.
		},
		onDecision() {
			// The runs show what was decided.
		},
		onTaskWait() {
			// Waits are not checked here.
		},
	});
	installEndpoints(world, owner);
	return owner;
};

const submit = async (world: StrayWorld, holder: string, order: JobOrder): Promise<void> => {
	world.owner.submit(holder, order);
	await world.time.tickAsync(untilStartedMilliseconds);
};

const runsOf = ({leasedEndpoints}: StrayWorld, job: string): readonly LeasedRun[] =>
	leasedEndpoints.flatMap(({runs}) => runs).filter(({task}) => task.job === job).toSorted((first, second) => first.startedAt - second.startedAt);

const createEndpoints = (world: StrayWorld, endpoints: number, tasks: number): void => {
	world.tasksAtEndpoint = tasks;
	world.lastConfirmedAt = new Map();
	world.raisedToken = 0;
	world.leasedEndpoints = Array.from({length: endpoints}, () => createLeasedEndpoint());
};

Given('{int} endpoint(s) with room for {int} task(s)', function (this: StrayWorld, endpoints: number, tasks: number) {
	createEndpoints(this, endpoints, tasks);
});

Given('an owner of these endpoints', async function (this: StrayWorld) {
	this.time = install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate', 'Date'], shouldClearNativeTimers: true});
	this.owner = createOwner(this, 1);
	await this.time.tickAsync(untilPolledMilliseconds);
});

After(function (this: Partial<StrayWorld>) {
	this.owner?.close();
	this.time?.uninstall();
});

When('a job of 1 task is submitted by {string}', async function (this: StrayWorld, holder: string) {
	await submit(this, holder, createOrder(firstJob, 0));
});

When('another job of 1 task is submitted by {string}', async function (this: StrayWorld, holder: string) {
	await submit(this, holder, createOrder(otherJob, 0));
	assert.equal(runsOf(this, otherJob).length, 1);
});

When('a third job of 1 task is submitted by {string}', async function (this: StrayWorld, holder: string) {
	await submit(this, holder, createOrder(thirdJob, 0));
});

When('another job is submitted by {string} and the first one by {string} at the same moment', async function (this: StrayWorld, otherHolder: string, holder: string) {
	this.owner.submit(otherHolder, createOrder(otherJob, 0));
	await submit(this, holder, createOrder(firstJob, 0));
	assert.equal(runsOf(this, otherJob).length, 1);
});

When('the second task of the job is submitted as part {string} by {string}', async function (this: StrayWorld, part: string, holder: string) {
	const order = createOrder(firstJob, 0);
	const steps = order.job.steps.map(step => ({...step, tasks: 2}));
	await submit(this, holder, {
		...order, part, excluded: ['0.0'], job: {...order.job, steps},
	});
});

When('the endpoints carry out no stops', function (this: StrayWorld) {
	for (const endpoint of this.leasedEndpoints) {
		endpoint.ignoresStops = true;
	}
});

When('the endpoints carry out stops again', function (this: StrayWorld) {
	for (const endpoint of this.leasedEndpoints) {
		endpoint.ignoresStops = false;
	}
});

When('the endpoint of the run answers {int} ms late', function (this: StrayWorld, milliseconds: number) {
	for (const endpoint of this.leasedEndpoints) {
		endpoint.delayMilliseconds = endpoint.runs.length > 0 ? milliseconds : endpoint.delayMilliseconds;
	}
});

When('a rival owner starts the first job on each endpoint', async function (this: StrayWorld) {
	const task = {job: firstJob, step: 0, index: 0};
	await this.time.tickAsync(untilStartedMilliseconds);
	for (const {calls} of this.leasedEndpoints) {
		void calls.start({
			task, attempt: 1, specification: '', leaseEndMilliseconds: performance.now() + maximumLeaseMilliseconds, fencingToken: 2,
		});
	}

	await this.time.tickAsync(untilStartedMilliseconds);
	assert.equal(runsOf(this, firstJob).length, this.leasedEndpoints.length);
});

When('a rival owner starts the first job on the last endpoint', async function (this: StrayWorld) {
	void this.leasedEndpoints.at(-1)!.calls.start({
		task: {job: firstJob, step: 0, index: 0}, attempt: 1, specification: '', leaseEndMilliseconds: performance.now() + maximumLeaseMilliseconds, fencingToken: 2,
	});
	await this.time.tickAsync(untilStartedMilliseconds);
	assert.equal(runsOf(this, firstJob).length, 1);
});

When('a rival owner starts the first job on the first endpoint with a lease of {int} ms', async function (this: StrayWorld, milliseconds: number) {
	void this.leasedEndpoints[0]!.calls.start({
		task: {job: firstJob, step: 0, index: 0}, attempt: 1, specification: '', leaseEndMilliseconds: performance.now() + milliseconds, fencingToken: 2,
	});
	await this.time.tickAsync(untilStartedMilliseconds);
	assert.equal(runsOf(this, firstJob).length, 1);
});

When('a rival owner starts the first job on the first endpoint for the second time', async function (this: StrayWorld) {
	void this.leasedEndpoints[0]!.calls.start({
		task: {job: firstJob, step: 0, index: 0}, attempt: 2, specification: '', leaseEndMilliseconds: performance.now() + maximumLeaseMilliseconds, fencingToken: 2,
	});
	await this.time.tickAsync(untilStartedMilliseconds);
	assert.equal(runsOf(this, firstJob).length, 1);
});

When('the first endpoint restarts under its identifier', function (this: StrayWorld) {
	this.disrupted = this.leasedEndpoints[0]!;
	this.disrupted.restart();
});

When('the endpoint of the run restarts under its identifier', function (this: StrayWorld) {
	this.disrupted = this.leasedEndpoints.find(({runs}) => runs.length > 0)!;
	this.disrupted.restart();
});

When('the first endpoint falls silent, and carries out starts {int} ms late', function (this: StrayWorld, milliseconds: number) {
	this.disrupted = this.leasedEndpoints[0]!;
	this.disrupted.isSilent = true;
	this.disrupted.lateStartMilliseconds = milliseconds;
});

When('that endpoint is heard again', function (this: StrayWorld) {
	this.disrupted.isSilent = false;
});

When('the answers to the polls of the first endpoint are {int} ms late', function (this: StrayWorld, milliseconds: number) {
	this.leasedEndpoints[0]!.pollAnswerDelayMilliseconds = milliseconds;
});

When('the platform lists the restarted endpoint', function (this: StrayWorld) {
	this.disrupted.listedStartedAt++;
	installEndpoints(this);
});

When('the owner raises its token', function (this: StrayWorld) {
	this.raisedToken = 3;
});

When('the holder {string} falls silent', function (this: StrayWorld, holder: string) {
	this.lastConfirmedAt.set(holder, performance.now());
});

When('the holder {string} is heard again', async function (this: StrayWorld, holder: string) {
	this.lastConfirmedAt.delete(holder);
	this.owner.resume();
	await this.time.tickAsync(untilStartedMilliseconds);
});

When('the endpoints accept only a rival owner', function (this: StrayWorld) {
	for (const endpoint of this.leasedEndpoints) {
		endpoint.isFenced = true;
	}
});

When('the endpoint of the run accepts only a rival owner', function (this: StrayWorld) {
	for (const endpoint of this.leasedEndpoints) {
		endpoint.isFenced = endpoint.runs.length > 0;
	}
});

When('the endpoints accept this owner again, which raises its token', async function (this: StrayWorld) {
	for (const endpoint of this.leasedEndpoints) {
		endpoint.isFenced = false;
	}

	this.raisedToken = 3;
	await this.time.tickAsync(untilPolledMilliseconds);
});

When('a rival owner extends the lease of each endpoint', async function (this: StrayWorld) {
	for (const {calls} of this.leasedEndpoints) {
		void calls.poll({
			fencingToken: 2, acknowledged: 0, waitMilliseconds: 0, leaseEndMilliseconds: performance.now() + maximumLeaseMilliseconds,
		});
	}

	await this.time.tickAsync(untilStartedMilliseconds);
});

When('the holder {string} is lost', function (this: StrayWorld, holder: string) {
	this.owner.dropHolder(holder);
});

When('another owner takes over', async function (this: StrayWorld) {
	this.owner.close();
	this.owner = createOwner(this, 2);
	await this.time.tickAsync(untilStartedMilliseconds);
});

When('the same owner claims its cell anew', async function (this: StrayWorld) {
	this.owner.close();
	// What the closed cell still sends carries the new token.
	this.raisedToken = 2;
	this.owner = createOwner(this, 2);
	await this.time.tickAsync(untilStartedMilliseconds);
});

When('another owner takes over, and the job is submitted to it at once by {string}', async function (this: StrayWorld, holder: string) {
	this.owner.close();
	this.owner = createOwner(this, 2);
	await submit(this, holder, createOrder(firstJob, 0));
});

When('the job is submitted again by {string}', async function (this: StrayWorld, holder: string) {
	await submit(this, holder, createOrder(firstJob, 0));
});

When('the other job is submitted by {string} as one that an earlier owner may have started', async function (this: StrayWorld, holder: string) {
	await submit(this, holder, createOrder(otherJob, 1));
});

When('the job is submitted by {string} as one that an earlier owner may have started', async function (this: StrayWorld, holder: string) {
	await submit(this, holder, createOrder(firstJob, 1));
});

When('the job is submitted by {string} as one whose runs by an earlier owner have ended', async function (this: StrayWorld, holder: string) {
	await submit(this, holder, {...createOrder(firstJob, 1), earlierRunsMilliseconds: 0});
});

When('the endpoints run for {int} ms', async function (this: StrayWorld, milliseconds: number) {
	await this.time.tickAsync(milliseconds);
});

When('the owner stands still for {int} ms', function (this: StrayWorld, milliseconds: number) {
	this.time.jump(milliseconds);
});

Then('the task ran {int} times, never twice at the same time', function (this: StrayWorld, times: number) {
	const runs = runsOf(this, firstJob);
	assert.equal(runs.length, times, JSON.stringify(runs));
	for (const [index, run] of runs.slice(1).entries()) {
		assert.ok(runs[index]!.endedAt <= run.startedAt, `two runs at the same time: ${JSON.stringify(runs)}`);
	}
});

Then('the run is at the restarted endpoint, and no other ran', function (this: StrayWorld) {
	assert.deepEqual(this.disrupted.runs.map(({endedAt}) => endedAt), [Number.POSITIVE_INFINITY]);
	assert.equal(runsOf(this, firstJob).length, 1, JSON.stringify(runsOf(this, firstJob)));
});

Then('the task runs at another endpoint', function (this: StrayWorld) {
	const active = runsOf(this, firstJob).filter(({endedAt}) => endedAt === Number.POSITIVE_INFINITY);
	assert.equal(active.length, 1, JSON.stringify(runsOf(this, firstJob)));
	assert.ok(!this.disrupted.runs.includes(active[0]!));
});

Then('the endpoint has rejected {int} start(s)', function (this: StrayWorld, count: number) {
	assert.equal(this.leasedEndpoints[0]!.fencedStarts, count);
});

Then('{int} endpoints have a run', function (this: StrayWorld, count: number) {
	assert.equal(this.leasedEndpoints.filter(({runs}) => runs.length > 0).length, count);
});

Then('the third job runs', function (this: StrayWorld) {
	assert.deepEqual(runsOf(this, thirdJob).map(({endedAt}) => endedAt), [Number.POSITIVE_INFINITY]);
});

Then('the third job runs nowhere', function (this: StrayWorld) {
	assert.deepEqual(runsOf(this, thirdJob).filter(({endedAt}) => endedAt === Number.POSITIVE_INFINITY), []);
});

Then('the third job never ran', function (this: StrayWorld) {
	assert.deepEqual(runsOf(this, thirdJob), []);
});

Then('the other job has run all the while', function (this: StrayWorld) {
	assert.deepEqual(runsOf(this, otherJob).map(({endedAt}) => endedAt), [Number.POSITIVE_INFINITY]);
});

Then('the first job runs nowhere', function (this: StrayWorld) {
	assert.deepEqual(runsOf(this, firstJob).filter(({endedAt}) => endedAt === Number.POSITIVE_INFINITY), []);
});
