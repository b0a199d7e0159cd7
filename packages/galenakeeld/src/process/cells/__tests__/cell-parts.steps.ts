import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {CallOutcome} from '@galenakeel/model/connection/endpoint-calls.js';
import {
	FleetMessageKind, type JobUpdate, type JobOrder, type PartEnd, type Redirect, type Refusal,
} from '@galenakeel/model/connection/fleet-message.js';
import type {Step} from '@galenakeel/model/request/job.js';
import {positionOf} from '@galenakeel/model/request/task-key.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {createCell, type Cell} from '../cell.js';
import {createSimulatedEndpoint} from './replay-load.js';

type PartsWorld = {
	clock: Clock;
	cell: Cell;
	order: JobOrder;
	updates: JobUpdate[];
	/** The updates for other holders. */
	otherUpdates: JobUpdate[];
	started: string[];
	stopped: string[];
	/** Highest run of each task that the endpoint has ended. */
	endedAttempt: number;
	/** Tasks of which a run is at the endpoint. */
	activeTasks: Set<string>;
	/** Tasks that were started while a run of them was at the endpoint. */
	startedTwice: string[];
};

const processorOfTask = 1000;
const taskMilliseconds = 200;
const firstPollMilliseconds = 500;
const settleMilliseconds = 50;
const holder = 'holder';
const firstAssignment = 1;
const secondAssignment = 2;
const assignmentOfReturn = 3;
/** More than the first endpoint has. */
const largeMemoryMegabytes = 4096;

const createStep = (tasks: number, after: readonly number[]): Step => ({
	tasks, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: taskMilliseconds, after,
});

const createOrder = (steps: readonly Step[], moves: number): JobOrder => ({
	job: {identifier: '5c0e7a21d94b36f8', specification: [processorOfTask, ...steps.flatMap(({tasks}) => Array.from({length: tasks}, () => taskMilliseconds))].join(' '), steps},
	part: '0',
	assignment: firstAssignment,
	assignedMillisecondsAgo: 0,
	service: 'sheets',
	queue: 'sheets',
	priority: 0,
	mostAttempts: 2,
	objectiveMilliseconds: 1000,
	dueInMilliseconds: 1000,
	worthlessInMilliseconds: 3000,
	excluded: [],
	generation: 0,
	highestToken: 0,
	moves,
	isCommitted: false,
});

const smallEndpoint = (slots: number): EndpointEntry => ({
	identifier: 'i-1', startedAt: 1, service: 'sheets', address: '', zone: 'north', isDraining: false,
	room: {processor: slots * processorOfTask, memoryMegabytes: 1024, accelerators: 0}, labels: ['a'],
});

const submit = async (world: PartsWorld, order: JobOrder): Promise<void> => {
	world.order = order;
	world.cell.submit(holder, order);
	await world.clock.tickAsync(settleMilliseconds);
};

const redirectsOf = ({updates}: PartsWorld): readonly Redirect[] => updates.filter(one => one.kind === FleetMessageKind.Redirect);

const countTransfers = (world: PartsWorld, tasks: number, cell: string): number =>
	redirectsOf(world).filter(one => one.positions.length === tasks && one.cell === cell).length;

Given('a cell with {int} slots, and the cell {string} with capacity for {int} tasks', async function (this: PartsWorld, slots: number, other: string, otherSlots: number) {
	this.clock = install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate', 'Date'], shouldClearNativeTimers: true});
	this.updates = [];
	this.otherUpdates = [];
	this.started = [];
	this.stopped = [];
	this.endedAttempt = 0;
	this.activeTasks = new Set();
	this.startedTwice = [];
	let isOtherKnown = true;
	this.cell = createCell({
		name: 'north',
		token: () => 1,
		holdMaximumMilliseconds: 1000,
		unconfirmedRunMilliseconds: 1300,
		remotePenalty: 1,
		lastConfirmedBy: () => performance.now(),
		requestConfirmation() {
			// The confirmations of holders are set above.
		},
		kindFactors: () => ({}),
		createCalls: ({room: {processor}}) => {
			const calls = createSimulatedEndpoint(processor, 1);
			return {
				...calls,
				start: async request => {
					if (request.attempt <= this.endedAttempt) {
						return {outcome: CallOutcome.Superseded, clockMilliseconds: undefined};
					}

					const position = positionOf(request.task);
					this.startedTwice.push(...[position].filter(one => this.activeTasks.has(one)));
					this.started.push(position);
					const reply = await calls.start(request);
					if (reply.outcome === CallOutcome.Done) {
						this.activeTasks.add(position);
					}

					return reply;
				},
				stop: async request => {
					this.stopped.push(positionOf(request.task));
					const reply = await calls.stop(request);
					this.activeTasks.delete(positionOf(request.task));
					return reply;
				},
				poll: async request => {
					const reply = await calls.poll(request);
					for (const {task} of reply.report?.ended ?? []) {
						this.activeTasks.delete(positionOf(task));
					}

					return reply;
				},
			};
		},
		notify: (receiver, update) => {
			(receiver === holder ? this.updates : this.otherUpdates).push(update);
		},
		otherCells: () => isOtherKnown ? [{cell: other, free: [{service: 'sheets', factor: 1, processor: otherSlots * processorOfTask}], waitMilliseconds: 0}] : [],
		onRedirected() {
			isOtherKnown = false;
		},
		onFenced() {
			throw new Error('a simulated endpoint has a single owner');
		},
		onDecision() {
			// The updates show what was decided.
		},
		onTaskWait() {
			// Waits are not checked here.
		},
	});
	this.cell.install([smallEndpoint(slots)]);
	await this.clock.tickAsync(firstPollMilliseconds);
});

After(function (this: Partial<PartsWorld>) {
	this.cell?.close();
	this.clock?.uninstall();
});

When('a job of {int} tasks is submitted', async function (this: PartsWorld, tasks: number) {
	await submit(this, createOrder([createStep(tasks, [])], 0));
});

When('a job of {int} tasks that run for {int} ms is submitted', async function (this: PartsWorld, tasks: number, milliseconds: number) {
	const order = createOrder([createStep(tasks, [])], 0);
	const specification = [processorOfTask, ...Array.from({length: tasks}, () => milliseconds)].join(' ');
	await submit(this, {...order, job: {...order.job, specification}});
});

const createOtherOrder = (tasks: number): JobOrder => {
	const order = createOrder([createStep(tasks, [])], 0);
	return {...order, assignment: secondAssignment, job: {...order.job, identifier: '5c0e7a21d94b36f9'}};
};

When('another job of {int} tasks is submitted', async function (this: PartsWorld, tasks: number) {
	await submit(this, createOtherOrder(tasks));
});

When('another job of {int} tasks that an earlier owner may have started is submitted, {int} ms late', async function (this: PartsWorld, tasks: number, milliseconds: number) {
	const order = createOtherOrder(tasks);
	await submit(this, {
		...order, generation: 1, dueInMilliseconds: order.dueInMilliseconds - milliseconds, worthlessInMilliseconds: order.worthlessInMilliseconds - milliseconds,
	});
});

When('a job of {int} tasks that was moved {int} times is submitted', async function (this: PartsWorld, tasks: number, moves: number) {
	await submit(this, createOrder([createStep(tasks, [])], moves));
});

When('a job of {int} tasks that requires the label {string} is submitted', async function (this: PartsWorld, tasks: number, requiredLabel: string) {
	await submit(this, createOrder([{...createStep(tasks, []), requiredLabel}], 0));
});

When('a job of {int} tasks followed by {int} tasks is submitted', async function (this: PartsWorld, first: number, second: number) {
	await submit(this, createOrder([createStep(first, []), createStep(second, [0])], 0));
});

When('a job of {int} tasks with at most {int} on one endpoint is submitted', async function (this: PartsWorld, tasks: number, mostOnOneEndpoint: number) {
	await submit(this, createOrder([{...createStep(tasks, []), mostOnOneEndpoint}], 0));
});

When('a job of {int} tasks is submitted, whose runs by an earlier owner have ended after {int} ms', async function (this: PartsWorld, tasks: number, milliseconds: number) {
	await submit(this, {
		...createOrder([createStep(tasks, [])], 0), generation: 1, isCommitted: true, earlierRunsMilliseconds: milliseconds,
	});
});

When('a job of {int} tasks that an earlier owner may have started is submitted', async function (this: PartsWorld, tasks: number) {
	await submit(this, {...createOrder([createStep(tasks, [])], 0), generation: 1, isCommitted: true});
});

When('the cell runs for {int} ms', async function (this: PartsWorld, milliseconds: number) {
	await this.clock.tickAsync(milliseconds);
});

Then('no task was started here', function (this: PartsWorld) {
	assert.deepEqual(this.started, []);
});

When('the job is submitted again', async function (this: PartsWorld) {
	await submit(this, this.order);
});

When('a job of {int} tasks that no endpoint fits is submitted', async function (this: PartsWorld, tasks: number) {
	const step = createStep(tasks, []);
	await submit(this, createOrder([{...step, room: {...step.room, memoryMegabytes: largeMemoryMegabytes}}], 0));
});

When('an endpoint that fits is listed', async function (this: PartsWorld) {
	this.cell.install([smallEndpoint(2), {...smallEndpoint(2), identifier: 'i-2', room: {processor: 2 * processorOfTask, memoryMegabytes: 2 * largeMemoryMegabytes, accelerators: 0}}]);
	await this.clock.tickAsync(firstPollMilliseconds);
});

When('a job of {int} tasks is cancelled before its order arrives', async function (this: PartsWorld, tasks: number) {
	this.order = createOrder([createStep(tasks, [])], 0);
	this.cell.cancel(holder, {job: this.order.job.identifier, part: this.order.part, assignment: this.order.assignment});
	await this.clock.tickAsync(settleMilliseconds);
});

When('a job of {int} tasks that was first assigned {int} ms ago is submitted', async function (this: PartsWorld, tasks: number, milliseconds: number) {
	await submit(this, {...createOrder([createStep(tasks, [])], 0), assignedMillisecondsAgo: milliseconds});
});

Given('the endpoint has ended run {int} of each task', function (this: PartsWorld, attempt: number) {
	this.endedAttempt = attempt;
});

/** A part of a job of two tasks. */
When('the part {string} of a job with the tasks {string} is submitted', async function (this: PartsWorld, part: string, positions: string) {
	const order = createOrder([createStep(2, [])], 0);
	const own = new Set(positions.split(', '));
	await submit(this, {...order, part, excluded: ['0.0', '0.1'].filter(position => !own.has(position))});
});

When('the job is submitted by {string} in a new assignment as part {string}', async function (this: PartsWorld, by: string, part: string) {
	this.cell.submit(by, {...this.order, part, assignment: secondAssignment});
	await this.clock.tickAsync(settleMilliseconds);
});

Then('no task was started here while an earlier run of it went on', function (this: PartsWorld) {
	assert.deepEqual(this.startedTwice, []);
});

Then('the holder was told that the job is complete', function (this: PartsWorld) {
	assert.deepEqual(endsOf(this.updates).map(({isComplete}) => isComplete), [true]);
});

const submitAnew = async (world: PartsWorld, by: string, excluded: readonly string[]): Promise<void> => {
	world.cell.submit(by, {...world.order, assignment: secondAssignment, excluded});
	await world.clock.tickAsync(settleMilliseconds);
};

When('the job is submitted by {string} in a new assignment', async function (this: PartsWorld, by: string) {
	await submitAnew(this, by, []);
});

When('the job is submitted by {string} in a new assignment after another owner was lost', async function (this: PartsWorld, by: string) {
	this.order = {...this.order, generation: 1, isCommitted: true};
	await submitAnew(this, by, []);
});

When('the job is submitted by {string} in a new assignment, whose runs by an earlier owner have ended after {int} ms', async function (this: PartsWorld, by: string, milliseconds: number) {
	this.order = {...this.order, earlierRunsMilliseconds: milliseconds};
	await submitAnew(this, by, []);
});

When('the job is submitted by {string} as one that no owner has had', async function (this: PartsWorld, by: string) {
	this.order = {...this.order, generation: 0, earlierRunsMilliseconds: 0};
	await submitAnew(this, by, []);
});

When('the job is submitted by {string} as part {string}', async function (this: PartsWorld, by: string, part: string) {
	this.order = {...this.order, part};
	await submitAnew(this, by, []);
});

When('the job without the task {string} is submitted by {string} in a new assignment', async function (this: PartsWorld, position: string, by: string) {
	await submitAnew(this, by, [position]);
});

When('the job is submitted by {string} when its time is over', async function (this: PartsWorld, by: string) {
	this.order = {...this.order, dueInMilliseconds: -5000, worthlessInMilliseconds: -3000};
	await submitAnew(this, by, []);
});

const refusalsOf = (updates: readonly JobUpdate[]): readonly Refusal[] => updates.filter(one => one.kind === FleetMessageKind.Refuse);

Then('{string} was told that the job is refused and may have run', function (this: PartsWorld, _: string) {
	assert.deepEqual(refusalsOf(this.otherUpdates).map(({mayHaveRun}) => mayHaveRun), [true]);
});

Then('{string} was told that the job is refused and has not run', function (this: PartsWorld, _: string) {
	assert.deepEqual(refusalsOf(this.otherUpdates).map(({mayHaveRun}) => mayHaveRun), [false]);
});

When('the redirected tasks come back as part {string}', async function (this: PartsWorld, part: string) {
	const returned = new Set(redirectsOf(this).flatMap(({positions}) => positions));
	const positions = this.order.job.steps.flatMap(({tasks}, step) => Array.from({length: tasks}, (_, index) => `${step}.${index}`));
	this.cell.submit(holder, {
		...this.order, part, assignment: assignmentOfReturn, excluded: positions.filter(position => !returned.has(position)), moves: 1, isCommitted: true,
	});
	await this.clock.tickAsync(settleMilliseconds);
});

When('all tasks come back as part {string}', async function (this: PartsWorld, part: string) {
	this.cell.submit(holder, {
		...this.order, part, assignment: assignmentOfReturn, moves: 1, isCommitted: true,
	});
	await this.clock.tickAsync(settleMilliseconds);
});

When('the first assignment is cancelled', async function (this: PartsWorld) {
	this.cell.cancel(holder, {job: this.order.job.identifier, part: this.order.part, assignment: firstAssignment});
	await this.clock.tickAsync(settleMilliseconds);
});

When('the holder is lost', async function (this: PartsWorld) {
	this.cell.dropHolder(holder);
	await this.clock.tickAsync(settleMilliseconds);
});

Then('{int} tasks were started here', function (this: PartsWorld, tasks: number) {
	assert.equal(this.started.length, tasks);
	assert.equal(new Set(this.started).size, tasks);
});

Then('each of the {int} tasks was started here', function (this: PartsWorld, tasks: number) {
	assert.equal(new Set(this.started).size, tasks);
});

Then('none of the tasks that went to {string} was started here', function (this: PartsWorld, cell: string) {
	const redirected = new Set(redirectsOf(this).filter(one => one.cell === cell).flatMap(({positions}) => positions));
	assert.ok(redirected.size > 0);
	assert.deepEqual(this.started.filter(position => redirected.has(position)), []);
});

Then('{int} tasks were stopped here', function (this: PartsWorld, tasks: number) {
	assert.equal(new Set(this.stopped).size, tasks);
});

Then('{int} tasks went to {string}', function (this: PartsWorld, tasks: number, cell: string) {
	assert.equal(countTransfers(this, tasks, cell), 1);
});

Then('the holder was notified {int} times that {int} tasks went to {string}', function (this: PartsWorld, times: number, tasks: number, cell: string) {
	assert.equal(countTransfers(this, tasks, cell), times);
});

Then('no task went elsewhere', function (this: PartsWorld) {
	assert.deepEqual(redirectsOf(this), []);
});

Then('the holder was told {int} times that the job is refused', function (this: PartsWorld, times: number) {
	assert.equal(this.updates.filter(({kind}) => kind === FleetMessageKind.Refuse).length, times);
});

const endsOf = (updates: readonly JobUpdate[]): readonly PartEnd[] => updates.filter(one => one.kind === FleetMessageKind.End);

Then('the holder was told that the part was dropped after a start', function (this: PartsWorld) {
	assert.deepEqual(this.updates.filter(one => one.kind === FleetMessageKind.Dropped).map(({hasStarted}) => hasStarted).at(-1), true);
});

Then('the holder was told that it is superseded', function (this: PartsWorld) {
	assert.ok(this.updates.some(({kind, assignment}) => kind === FleetMessageKind.Superseded && assignment === firstAssignment));
});

Then('{string} was told that {int} tasks went to {string}, and of no other cell', function (this: PartsWorld, _: string, tasks: number, cell: string) {
	const redirects = [...this.otherUpdates.filter(one => one.kind === FleetMessageKind.Redirect), ...endsOf(this.otherUpdates).flatMap(end => end.redirects)];
	assert.deepEqual(redirects.map(redirect => [redirect.positions.length, redirect.cell]), [[tasks, cell]]);
});

Then('{string} was told of no other cell', function (this: PartsWorld, _: string) {
	const redirects = [...this.otherUpdates.filter(one => one.kind === FleetMessageKind.Redirect), ...endsOf(this.otherUpdates).flatMap(end => end.redirects)];
	assert.deepEqual(redirects, []);
});

Then('{string} was told that the job is complete', function (this: PartsWorld, _: string) {
	assert.deepEqual(endsOf(this.otherUpdates).map(({assignment, isComplete}) => [assignment, isComplete]), [[secondAssignment, true]]);
});

Then('no task was stopped here', function (this: PartsWorld) {
	assert.deepEqual(this.stopped, []);
});

Then('{string} got an answer that leaves no task open', function (this: PartsWorld, _: string) {
	// A holder without open tasks takes either for the end of its part.
	assert.ok(this.otherUpdates.some(({kind}) => kind === FleetMessageKind.End || kind === FleetMessageKind.Redirect));
});

Then('the end of the new assignment stands for the task {string}', function (this: PartsWorld, position: string) {
	assert.deepEqual(endsOf(this.updates).map(({assignment}) => assignment), [secondAssignment]);
	assert.deepEqual(this.started.slice(2), [position]);
});

Then('the end of the new assignment stands for {int} tasks', function (this: PartsWorld, tasks: number) {
	assert.deepEqual(endsOf(this.updates).map(({assignment}) => assignment), [secondAssignment]);
	assert.equal(this.started.length, tasks + tasks);
});

Then('the end lists {int} tasks that went to {string}', function (this: PartsWorld, tasks: number, cell: string) {
	assert.deepEqual(endsOf(this.updates).map(({redirects}) => redirects.map(redirect => [redirect.positions.length, redirect.cell])), [[[tasks, cell]]]);
});
