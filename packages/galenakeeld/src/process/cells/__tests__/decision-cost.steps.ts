import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {FleetMessageKind, type JobOrder, type JobUpdate} from '@galenakeel/model/connection/fleet-message.js';
import type {Step} from '@galenakeel/model/request/job.js';
import {createBinaryHeap} from '../binary-heap.js';
import {createCell, type Cell} from '../cell.js';
import {CellDecision} from '../cell-decision.js';
import {
	placeTasks, type EndpointCapacity, type Placement, type WaitingStep,
} from '../place-tasks.js';
import {createSimulatedEndpoint} from './replay-load.js';

type CostWorld = {
	capacities: EndpointCapacity[];
	placements: readonly Placement[];
	steps: number;
	/** Reads of the processor that a waiting task needs. */
	reads: number;
	replaced: number[];
	smallest: number[];
	mostComparisons: number;
	costClock: Clock;
	costCell: Cell;
	updates: JobUpdate[];
	accepted: string[];
	submitted: number;
};

const estimateMilliseconds = 100;
const objectiveMilliseconds = 200;
const processorOfTask = 1000;
const processorOfEndpoint = 4000;

const createEndpoints = (count: number, freeProcessor: number, factor: number): EndpointCapacity[] => Array.from({length: count}, (_, index) => ({
	endpoint: `i-${index}`,
	leaseEndsAt: 0,
	service: 'sheets',
	free: {processor: freeProcessor, memoryMegabytes: 1024, accelerators: 0},
	total: {processor: processorOfEndpoint, memoryMegabytes: 1024, accelerators: 0},
	labels: [],
	factor,
	maximumTasks: 10,
	remainingTimes: () => [],
	countOf: () => 0,
}));

/** A step that counts how often the processor of its tasks is read. */
const createCountedStep = (world: CostWorld, tasks: number): Step => ({
	tasks,
	room: {
		get processor() {
			world.reads++;
			return processorOfTask;
		},
		memoryMegabytes: 1,
		accelerators: 0,
	},
	estimateMilliseconds,
	after: [],
});

Given('{int} endpoints, too full for another task', function (this: CostWorld, count: number) {
	this.capacities = createEndpoints(count, processorOfTask - 1, 1);
});

Given('{int} endpoints, free but too slow', function (this: CostWorld, count: number) {
	this.capacities = [...createEndpoints(count, processorOfEndpoint, 10), ...createEndpoints(1, 0, 1)];
});

When('{int} steps of {int} tasks wait', function (this: CostWorld, steps: number, tasks: number) {
	this.reads = 0;
	this.steps = steps;
	const waiting = Array.from({length: steps}, (_, index): WaitingStep => ({
		part: `${index}/0`,
		job: String(index),
		service: 'sheets',
		position: 0,
		step: createCountedStep(this, tasks),
		indexes: Array.from({length: tasks}, (_, task) => task),
		dueAt: objectiveMilliseconds,
		isInTime: true,
		avoidedEndpoints: () => new Set(),
	}));
	this.placements = placeTasks(waiting, this.capacities, {now: 0, remotePenalty: 3, latestLeaseEndOf: () => Number.POSITIVE_INFINITY});
});

Then('no task is placed', function (this: CostWorld) {
	assert.deepEqual(this.placements, []);
});

Then('each step was compared with the capacity at most {int} times', function (this: CostWorld, most: number) {
	assert.ok(this.reads <= most * this.steps, `${this.reads / this.steps} comparisons a step`);
});

/** Park-Miller generator; whole numbers. */
const createNumbers = (seed: number): () => number => {
	let state = seed;
	return () => {
		state = (state * 48_271) % ((2 ** 31) - 1);
		return state;
	};
};

Given('a heap of {int} numbers with seed {int}', function (this: CostWorld, count: number, seed: number) {
	const next = createNumbers(seed);
	this.replaced = Array.from({length: count}, () => next());
	this.smallest = [];
	this.mostComparisons = 0;
});

When('the first number is replaced {int} times', function (this: CostWorld, times: number) {
	let comparisons = 0;
	const heap = createBinaryHeap(this.replaced, (first, second) => {
		comparisons++;
		return first < second;
	});
	const added = createNumbers(1);
	for (let count = 0; count < times; count++) {
		comparisons = 0;
		const first = heap.first()!;
		const later = first + added();
		heap.replaceFirst(later);
		this.smallest.push(first);
		this.replaced.push(later);
		this.mostComparisons = Math.max(this.mostComparisons, comparisons);
	}
});

Then('each was the smallest number, and each replacement took at most {int} comparisons', function (this: CostWorld, most: number) {
	const sorted = this.replaced.toSorted((first, second) => first - second);
	assert.deepEqual(this.smallest, sorted.slice(0, this.smallest.length));
	assert.ok(this.mostComparisons <= most, String(this.mostComparisons));
});

const createOrder = (world: CostWorld, isCommitted: boolean): JobOrder => {
	world.submitted++;
	return {
		job: {identifier: String(world.submitted), specification: `${processorOfTask} ${estimateMilliseconds}`, steps: [createCountedStep(world, 1)]},
		part: '0',
		assignment: world.submitted,
		assignedMillisecondsAgo: 0,
		service: 'sheets',
		queue: 'sheets',
		priority: 0,
		mostAttempts: 2,
		objectiveMilliseconds: 100_000,
		dueInMilliseconds: 100_000,
		worthlessInMilliseconds: 300_000,
		excluded: [],
		generation: 0,
		highestToken: 0,
		moves: 0,
		isCommitted,
	};
};

const arrive = (world: CostWorld, isCommitted: boolean): void => {
	world.reads = 0;
	world.updates = [];
	world.accepted = [];
	world.costCell.submit('holder', createOrder(world, isCommitted));
};

Given('a full cell at which {int} jobs wait that can\'t be refused', async function (this: CostWorld, count: number) {
	this.costClock = install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate', 'Date'], shouldClearNativeTimers: true});
	this.submitted = 0;
	this.updates = [];
	this.accepted = [];
	this.costCell = createCell({
		name: 'north',
		token: () => 1,
		holdMaximumMilliseconds: 1000,
		unconfirmedRunMilliseconds: 1300,
		lastConfirmedBy: () => performance.now(),
		requestConfirmation() {
			// The confirmations of holders are set above.
		},
		remotePenalty: 1,
		kindFactors: () => ({}),
		createCalls: () => createSimulatedEndpoint(processorOfTask, 1),
		notify: (_, update) => {
			this.updates.push(update);
		},
		otherCells: () => [],
		onRedirected() {
			throw new Error('there are no other cells');
		},
		onFenced() {
			throw new Error('a simulated endpoint has a single owner');
		},
		onDecision: (decision, {job}) => {
			if (decision === CellDecision.JobAccepted) {
				this.accepted.push(String(job));
			}
		},
		onTaskWait() {
			// Waits are not checked here.
		},
	});
	this.costCell.install([{
		identifier: 'i-1', startedAt: 1, service: 'sheets', address: '', zone: 'north', isDraining: false,
		room: {processor: processorOfTask, memoryMegabytes: 1024, accelerators: 0}, labels: [],
	}]);
	await this.costClock.tickAsync(500);
	for (let waiting = 0; waiting <= count; waiting++) {
		this.costCell.submit('holder', createOrder(this, true));
	}
});

After(function (this: Partial<CostWorld>) {
	this.costCell?.close();
	this.costClock?.uninstall();
});

When('another job arrives', function (this: CostWorld) {
	arrive(this, false);
});

When('another job arrives that can\'t be refused', function (this: CostWorld) {
	arrive(this, true);
});

const assertNoPrediction = ({reads}: CostWorld): void => {
	const mostReadsOfOneJob = 10;
	assert.ok(reads <= mostReadsOfOneJob, `${reads} reads`);
};

Then('it is refused without a prediction', function (this: CostWorld) {
	assert.deepEqual(this.updates.map(({kind}) => kind), [FleetMessageKind.Refuse]);
	assertNoPrediction(this);
});

Then('it is accepted without a prediction', function (this: CostWorld) {
	assert.deepEqual(this.accepted, [String(this.submitted)]);
	assertNoPrediction(this);
});
