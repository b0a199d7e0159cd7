import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import type {Step} from '@galenakeel/model/request/job.js';
import fc from 'fast-check';
import {
	placeTasks, type EndpointCapacity, type Placement, type WaitingStep,
} from '../place-tasks.js';

type PlacementWorld = {
	capacities: EndpointCapacity[];
	waiting: WaitingStep[];
};

const remotePenalty = 3;
const unbounded = Number.POSITIVE_INFINITY;
const latestLeaseEndOf = () => unbounded;
const createResources = (processor: number) => ({processor, memoryMegabytes: 1024, accelerators: 0});

const createStep = (tasks: number, estimateMilliseconds: number, processor: number, more: Partial<Step> = {}): Step => ({
	tasks, estimateMilliseconds, room: {processor, memoryMegabytes: 1, accelerators: 0}, after: [], ...more,
});

const createWaiting = (position: number, step: Step, more: Partial<WaitingStep> = {}): WaitingStep => ({
	part: `job-${position}`,
	job: `job-${position}`,
	service: 'sheets',
	position: 0,
	step,
	indexes: Array.from({length: step.tasks}, (_, index) => index),
	dueAt: 1000,
	isInTime: true,
	avoidedEndpoints: () => new Set(),
	...more,
});

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const addWaiting = (world: PlacementWorld, step: Step, more: Partial<WaitingStep> = {}): void => {
	world.waiting.push(createWaiting(world.waiting.length, step, more));
};

const changeCapacity = (world: PlacementWorld, name: string, change: Partial<EndpointCapacity>): void => {
	world.capacities = world.capacities.map(capacity => capacity.endpoint === name ? {...capacity, ...change} : capacity);
};

const describePlacements = ({capacities, waiting}: PlacementWorld): string => {
	const placements = placeTasks(waiting, capacities, {now: 0, remotePenalty, latestLeaseEndOf});
	const endpointOf = (job: string, index: number): string => placements.find(placement => placement.part === job && placement.index === index)?.endpoint ?? 'nowhere';
	return waiting.flatMap(({job, indexes}) => indexes.map(index => endpointOf(job, index))).join(', ');
};

Given('endpoints', function (this: PlacementWorld, table: DataTable) {
	this.waiting = [];
	this.capacities = table.hashes().map(row => ({
		endpoint: row.name!,
		leaseEndsAt: 0,
		service: 'sheets',
		total: createResources(Number(row.processor)),
		free: createResources(Number(row.free)),
		factor: Number(row.factor),
		labels: splitNames(row.labels!),
		maximumTasks: unbounded,
		remainingTimes: () => [],
		countOf: () => 0,
	}));
});

Given('{string} has {int} thousandths free', function (this: PlacementWorld, name: string, processor: number) {
	changeCapacity(this, name, {free: createResources(processor)});
});

Given('{string} is as fast as {string}', function (this: PlacementWorld, name: string, other: string) {
	changeCapacity(this, name, {factor: this.capacities.find(({endpoint}) => endpoint === other)!.factor});
});

Given('{string} takes at most {int} task(s)', function (this: PlacementWorld, name: string, maximumTasks: number) {
	changeCapacity(this, name, {maximumTasks});
});

When('a task of {int} ms and {int} thousandths waits, due in {int} ms', function (this: PlacementWorld, milliseconds: number, processor: number, dueAt: number) {
	addWaiting(this, createStep(1, milliseconds, processor), {dueAt});
});

When('a late task of {int} ms and {int} thousandths waits, due in {int} ms', function (this: PlacementWorld, milliseconds: number, processor: number, dueAt: number) {
	addWaiting(this, createStep(1, milliseconds, processor), {dueAt, isInTime: false});
});

When('a task of {int} ms and {int} thousandths waits, due in {int} ms, that failed at {string}', function (this: PlacementWorld, milliseconds: number, processor: number, dueAt: number, names: string) {
	addWaiting(this, createStep(1, milliseconds, processor), {dueAt, avoidedEndpoints: () => new Set(splitNames(names))});
});

When('a task of {int} ms and {int} thousandths waits, due in {int} ms, that requires the label {string}', function (this: PlacementWorld, milliseconds: number, processor: number, dueAt: number, requiredLabel: string) {
	addWaiting(this, createStep(1, milliseconds, processor, {requiredLabel}), {dueAt});
});

When('a task of {int} ms and {int} thousandths waits, due in {int} ms, whose data is on the rack {string}', function (this: PlacementWorld, milliseconds: number, processor: number, dueAt: number, preferredRack: string) {
	addWaiting(this, createStep(1, milliseconds, processor, {preferredRack}), {dueAt});
});

When('{int} tasks of a step of {int} ms and {int} thousandths wait, at most {int} on one endpoint', function (this: PlacementWorld, tasks: number, milliseconds: number, processor: number, mostOnOneEndpoint: number) {
	addWaiting(this, createStep(tasks, milliseconds, processor, {mostOnOneEndpoint}));
});

Then('it goes to {string}', function (this: PlacementWorld, expected: string) {
	assert.equal(describePlacements(this), expected);
});

Then('they go to {string}', function (this: PlacementWorld, expected: string) {
	assert.equal(describePlacements(this), expected);
});

const arbitraryLabel = fc.constantFrom('a', 'b');

const arbitraryCapacity = fc.record({
	endpoint: fc.integer({min: 0, max: 9}).map(String),
	leaseEndsAt: fc.integer({min: 0, max: 1000}),
	service: fc.constantFrom('sheets', 'quotes'),
	total: fc.constant(createResources(4000)),
	free: fc.integer({min: 0, max: 4000}).map(processor => createResources(processor)),
	labels: arbitraryLabel.map(label => [label]),
	factor: fc.double({min: 0.3, max: 8, noNaN: true}),
	maximumTasks: fc.constantFrom(0, 1, unbounded),
	remainingTimes: fc.constant(() => []),
	countOf: fc.constant(() => 0),
});

const arbitraryStep = fc.record({
	tasks: fc.integer({min: 1, max: 12}),
	estimateMilliseconds: fc.integer({min: 1, max: 2000}),
	room: fc.integer({min: 1, max: 3000}).map(processor => ({processor, memoryMegabytes: 1, accelerators: 0})),
	after: fc.constant([]),
	requiredLabel: fc.option(arbitraryLabel, {nil: undefined}),
	mostOnOneEndpoint: fc.option(fc.integer({min: 1, max: 3}), {nil: undefined}),
});

const arbitraryWaiting = fc.array(fc.tuple(arbitraryStep, fc.integer({min: 0, max: 3000}), fc.boolean(), fc.constantFrom('sheets', 'quotes')), {maxLength: 12});

/** Time after which no lease may end that covers a run of a part, by part: some allow the leases of all endpoints, some of none. */
const drawnLeaseEndOf = (part: string): number => (Number(part.replace('job-', '')) % 6) * 250;

const checkPlacements = (capacities: readonly EndpointCapacity[], waiting: readonly WaitingStep[], placements: readonly Placement[]): void => {
	const stepOf = (job: string): WaitingStep => waiting.find(one => one.job === job)!;
	for (const capacity of capacities) {
		const here = placements.filter(({endpoint}) => endpoint === capacity.endpoint).map(placement => stepOf(placement.part));
		let used = 0;
		for (const {step, service, job, part} of here) {
			used += step.room.processor;
			assert.equal(service, capacity.service);
			assert.ok(capacity.leaseEndsAt <= drawnLeaseEndOf(part));
			assert.ok(step.requiredLabel === undefined || capacity.labels.includes(step.requiredLabel));
			assert.ok(here.filter(one => one.job === job).length <= (step.mostOnOneEndpoint ?? unbounded));
		}

		assert.ok(used <= capacity.free.processor);
		assert.ok(here.length <= capacity.maximumTasks);
	}

	assert.equal(new Set(placements.map(({part, index}) => `${part} ${index}`)).size, placements.length);
};

Then('in {int} random loads with seed {int} no endpoint exceeds its capacity, and no task is placed twice, where it may not run or under a lease that is too long for it', {timeout: 60_000}, (numberRuns: number, seed: number) => {
	const capacities = fc.uniqueArray(arbitraryCapacity, {selector: ({endpoint}) => endpoint, maxLength: 8});
	fc.assert(fc.property(capacities, arbitraryWaiting, (drawnCapacities, drawn) => {
		const waiting = drawn.map(([step, dueAt, isInTime, service], position) => createWaiting(position, step as Step, {dueAt, isInTime, service}));
		checkPlacements(drawnCapacities, waiting, placeTasks(waiting, drawnCapacities, {now: 0, remotePenalty, latestLeaseEndOf: drawnLeaseEndOf}));
	}), {numRuns: numberRuns, seed});
});
