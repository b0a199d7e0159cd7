import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {setImmediate as turn} from 'node:timers/promises';
import {
	Given, Then, When,
} from '@cucumber/cucumber';
import {
	FleetMessageKind, type AssignmentReference, type FleetMessage, type JobOrder,
} from '@galenakeel/model/connection/fleet-message.js';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {RefusalReason, type Job} from '@galenakeel/model/request/job.js';
import {positionOf} from '@galenakeel/model/request/task-key.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import {
	createHeldJobs, HolderEvent, type HeldJob, type HeldJobs,
} from '../../process/fleet/held-jobs.js';
import {holdJob} from '../hold-job.js';
import type {JobAnswer} from '../job-answer.js';

type HolderWorld = {
	heldJobs: HeldJobs;
	/** Terms of the owners, by cell. A cell without an entry has no owner. */
	terms: Map<string, number>;
	submitted: Array<{readonly cell: string; readonly order: JobOrder}>;
	cancelled: string[];
	/** Monotonic milliseconds by which the runs of the owner of a cell have ended; by now for a cell without an entry. */
	runEnds: Map<string, number>;
	holdings: HeldJob[];
	answer: JobAnswer | undefined;
	hasCallerLeft: boolean;
	/** Resolves once arrivals from callers have been read; undefined while nothing has to be read. */
	arrivals: Deferred<void> | undefined;
};

const identifier = '5c0e7a21d94b36f8';
const tasks = 4;

const job: Job = {
	identifier,
	specification: '',
	steps: [{
		tasks, room: {processor: 1000, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: 100, after: [],
	}],
};

const queue: Queue = {
	name: 'sheets', host: 'sheets.example', pathPrefix: '/', service: 'sheets', priority: 0, mostAttempts: 2, objectiveFactor: 2, objectiveMilliseconds: 60,
};

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const allPositions = Array.from({length: tasks}, (_, index) => positionOf({step: 0, index}));

const record = (world: HolderWorld, message: FleetMessage): void => {
	if (message.kind === FleetMessageKind.Submit) {
		world.submitted.push({cell: message.cell, order: message.order});
	} else if (message.kind === FleetMessageKind.Cancel) {
		world.cancelled.push(message.part);
	}
};

/** Waits until the holder has processed the updates sent to it. */
const settle = async (): Promise<void> => {
	await turn();
	await turn();
};

/** Names the last assignment of a part, as its owner does. */
const referenceTo = ({submitted}: HolderWorld, part: string): AssignmentReference => {
	const {order} = submitted.findLast(one => one.order.part === part)!;
	return {job: identifier, part, assignment: order.assignment};
};

const ordersOf = ({submitted}: HolderWorld, part: string) => submitted.filter(({order}) => order.part === part);

Given('a job of {int} tasks whose home cell is {string}', async function (this: HolderWorld, count: number, homeCell: string) {
	assert.equal(count, tasks);
	this.heldJobs = createHeldJobs();
	this.terms = new Map([['north', 1], ['south', 1]]);
	this.submitted = [];
	this.cancelled = [];
	this.runEnds = new Map();
	this.holdings = [];
	this.answer = undefined;
	this.hasCallerLeft = false;
	this.arrivals = undefined;
	const hold = async (): Promise<void> => {
		this.answer = await holdJob(job, queue, {
			homeCell,
			hasCallerLeft: async () => {
				await this.arrivals?.promise;
				return this.hasCallerLeft;
			},
			hold: () => {
				const held = this.heldJobs.hold();
				this.holdings.push(held);
				return held;
			},
			awaitOwner: async cell => {
				const term = this.terms.get(cell);
				return term === undefined ? undefined : {address: cell, term, token: term};
			},
			otherCells: () => [],
			send: (_, message) => {
				record(this, message);
			},
			successorWaitMilliseconds: 1,
			lastHeardFrom: () => undefined,
			runsEndAt: ({address}) => this.runEnds.get(address) ?? performance.now(),
			onDecision() {
				// The answer and the orders show what was decided.
			},
		});
	};

	void hold();
	await settle();
});

When('the owner of {string} redirects the tasks {string} of part {string} to {string}, which become part {string}', async function (this: HolderWorld, owner: string, positions: string, part: string, cell: string, newPart: string) {
	this.heldJobs.deliver(owner, {
		kind: FleetMessageKind.Redirect, ...referenceTo(this, part), positions: splitNames(positions), cell,
	});
	await settle();
	assert.ok(ordersOf(this, newPart).length > 0);
});

When('the owner of {string} ends part {string}', async function (this: HolderWorld, owner: string, part: string) {
	this.heldJobs.deliver(owner, {
		kind: FleetMessageKind.End, ...referenceTo(this, part), isComplete: true, redirects: [],
	});
	await settle();
});

When('the owner of {string} fails part {string}', async function (this: HolderWorld, owner: string, part: string) {
	this.heldJobs.deliver(owner, {
		kind: FleetMessageKind.End, ...referenceTo(this, part), isComplete: false, redirects: [],
	});
	await settle();
});

When('the owner of {string} refuses part {string}', async function (this: HolderWorld, owner: string, part: string) {
	this.heldJobs.deliver(owner, {
		kind: FleetMessageKind.Refuse, ...referenceTo(this, part), reason: RefusalReason.Overloaded, retryAfterMilliseconds: 1000, mayHaveRun: false,
	});
	await settle();
});

When('the owner of {string} refuses part {string}, which may have run', async function (this: HolderWorld, owner: string, part: string) {
	this.heldJobs.deliver(owner, {
		kind: FleetMessageKind.Refuse, ...referenceTo(this, part), reason: RefusalReason.Overloaded, retryAfterMilliseconds: 1000, mayHaveRun: true,
	});
	await settle();
});

When('the owner of {string} refuses part {string} twice at once', async function (this: HolderWorld, owner: string, part: string) {
	const reference = referenceTo(this, part);
	for (let times = 0; times < 2; times++) {
		this.heldJobs.deliver(owner, {
			kind: FleetMessageKind.Refuse, ...reference, reason: RefusalReason.Overloaded, retryAfterMilliseconds: 1000, mayHaveRun: false,
		});
	}

	await settle();
});

When('the owner of {string} ends part {string}, after a redirect of the tasks {string} to {string} that was lost', async function (this: HolderWorld, owner: string, part: string, positions: string, cell: string) {
	this.heldJobs.deliver(owner, {
		kind: FleetMessageKind.End, ...referenceTo(this, part), isComplete: true, redirects: [{positions: splitNames(positions), cell}],
	});
	await settle();
});

When('the owner of {string} ends part {string} as it was first assigned', async function (this: HolderWorld, owner: string, part: string) {
	const {order} = this.submitted.find(one => one.order.part === part)!;
	this.heldJobs.deliver(owner, {
		kind: FleetMessageKind.End, job: identifier, part, assignment: order.assignment, isComplete: true, redirects: [],
	});
	await settle();
});

const drop = async (world: HolderWorld, owner: string, part: string, succeeded: readonly string[], hasStarted: boolean): Promise<void> => {
	world.heldJobs.deliver(owner, {
		kind: FleetMessageKind.Dropped, ...referenceTo(world, part), hasStarted, succeeded, redirects: [],
	});
	await settle();
};

When('the owner of {string} has dropped part {string}, in which the task {string} succeeded, after a start', async function (this: HolderWorld, owner: string, part: string, succeeded: string) {
	await drop(this, owner, part, [succeeded], true);
});

When('the owner of {string} has dropped part {string} before any start', async function (this: HolderWorld, owner: string, part: string) {
	await drop(this, owner, part, [], false);
});

When('the owner of {string} gives part {string} to another holder', async function (this: HolderWorld, owner: string, part: string) {
	this.heldJobs.deliver(owner, {kind: FleetMessageKind.Superseded, ...referenceTo(this, part)});
	await settle();
});

When('the task {string} of part {string} succeeds', async function (this: HolderWorld, position: string, part: string) {
	this.heldJobs.deliver('south', {
		kind: FleetMessageKind.TaskSucceeded, ...referenceTo(this, part), position,
	});
	await settle();
});

Given('what the owner of {string} has started may run for {int} ms', function (this: HolderWorld, cell: string, milliseconds: number) {
	this.runEnds.set(cell, performance.now() + milliseconds);
});

When('the owner of {string} is lost( again)', async function (this: HolderWorld, cell: string) {
	this.terms.set(cell, this.terms.get(cell)! + 1);
	this.heldJobs.checkOwners(name => ({address: name, term: this.terms.get(name)!, token: this.terms.get(name)!}));
	await settle();
});

When('the owner of {string} is lost, and no other instance claims the cell', async function (this: HolderWorld, cell: string) {
	this.terms.delete(cell);
	this.heldJobs.checkOwners(name => this.terms.has(name) ? {address: name, term: this.terms.get(name)!, token: this.terms.get(name)!} : undefined);
	await settle();
});

When('the caller has left, which the parts have not read yet', function (this: HolderWorld) {
	this.hasCallerLeft = true;
});

When('arrivals from callers take long to read', function (this: HolderWorld) {
	this.arrivals = createDeferred();
});

When('arrivals from callers have been read', async function (this: HolderWorld) {
	this.arrivals!.resolve();
	await settle();
});

When('a stream to the owner of {string} opens again', async function (this: HolderWorld, owner: string) {
	this.heldJobs.notifyReconnected(owner);
	await settle();
});

When('the caller disconnects', async function (this: HolderWorld) {
	for (const {updates} of this.holdings) {
		updates.push({kind: HolderEvent.CallerDisconnected});
	}

	await settle();
});

Then('there is no answer yet', function (this: HolderWorld) {
	assert.equal(this.answer, undefined);
});

Then('the outcome is unknown', function (this: HolderWorld) {
	assert.deepEqual(this.answer, {end: undefined});
});

Then('the holder answers {string}', function (this: HolderWorld, expected: string) {
	assert.equal(this.answer?.end, expected);
});

Then('part {string} was last submitted to {string} with the tasks {string}', function (this: HolderWorld, part: string, cell: string, positions: string) {
	const last = ordersOf(this, part).at(-1)!;
	assert.equal(last.cell, cell);
	assert.deepEqual(allPositions.filter(position => !last.order.excluded.includes(position)), splitNames(positions));
});

Then('part {string} was last submitted to {string} with the highest token {int}', function (this: HolderWorld, part: string, cell: string, token: number) {
	const last = ordersOf(this, part).at(-1)!;
	assert.equal(last.cell, cell);
	assert.equal(last.order.highestToken, token);
});

Then('part {string} was last submitted to {string} as one whose earlier runs have ended after {int} ms', function (this: HolderWorld, part: string, cell: string, milliseconds: number) {
	const last = ordersOf(this, part).at(-1)!;
	assert.equal(last.cell, cell);
	const earlierRunsMilliseconds = last.order.earlierRunsMilliseconds!;
	assert.ok(earlierRunsMilliseconds <= milliseconds && earlierRunsMilliseconds > milliseconds / 2, String(earlierRunsMilliseconds));
});

Then('part {string} was last submitted to {string} as one without earlier runs', function (this: HolderWorld, part: string, cell: string) {
	const last = ordersOf(this, part).at(-1)!;
	assert.equal(last.cell, cell);
	assert.equal(last.order.earlierRunsMilliseconds, 0);
});

Then('part {string} was submitted {int} times', function (this: HolderWorld, part: string, times: number) {
	assert.equal(ordersOf(this, part).length, times);
});

Then('part {string} was submitted as one that can\'t be refused', function (this: HolderWorld, part: string) {
	assert.ok(ordersOf(this, part).at(-1)!.order.isCommitted);
});

Then('part {string} was submitted as one that can be refused', function (this: HolderWorld, part: string) {
	assert.ok(!ordersOf(this, part).at(-1)!.order.isCommitted);
});

Then('part {string} was cancelled', function (this: HolderWorld, part: string) {
	assert.ok(this.cancelled.includes(part));
});

Then('part {string} was not cancelled', function (this: HolderWorld, part: string) {
	assert.ok(!this.cancelled.includes(part));
});
