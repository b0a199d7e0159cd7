import assert from 'node:assert/strict';
import {
	Before, Given, Then, When,
} from '@cucumber/cucumber';
import type {Step} from '@galenakeel/model/request/job.js';
import fc from 'fast-check';
import type {CellCapacity} from '../admit-job.js';
import type {WaitingStep} from '../place-tasks.js';
import {shareTasks} from '../share-tasks.js';

type ShareWorld = {
	others: CellCapacity[];
	waitingSteps: WaitingStep[];
};

const processorOfTask = 1000;
const seed = 7;

const createStep = (tasks: number, estimateMilliseconds: number): Step => ({
	tasks, estimateMilliseconds, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, after: [],
});

const createWaiting = (position: number, step: Step, dueAt: number, isInTime: boolean): WaitingStep => ({
	part: `job-${position}/0`,
	job: `job-${position}`,
	service: 'sheets',
	position: 0,
	step,
	indexes: Array.from({length: step.tasks}, (_, index) => index),
	dueAt,
	isInTime,
	avoidedEndpoints: () => new Set(),
});

Before(function (this: Partial<ShareWorld>) {
	this.others = [];
	this.waitingSteps = [];
});

Given('the cell {string} has capacity for {int} tasks on endpoints of factor {float}', function (this: ShareWorld, cell: string, tasks: number, factor: number) {
	this.others.push({cell, free: [{service: 'sheets', factor, processor: tasks * processorOfTask}], waitMilliseconds: 0});
});

Given('the cell {string} has capacity for {int} tasks of the service {string}', function (this: ShareWorld, cell: string, tasks: number, service: string) {
	this.others.push({cell, free: [{service, factor: 1, processor: tasks * processorOfTask}], waitMilliseconds: 0});
});

const addWaiting = (world: ShareWorld, tasks: number, milliseconds: number, dueAt: number, isInTime: boolean): void => {
	world.waitingSteps.push(createWaiting(world.waitingSteps.length, createStep(tasks, milliseconds), dueAt, isInTime));
};

When('{int} tasks of {int} ms wait, due in {int} ms', function (this: ShareWorld, tasks: number, milliseconds: number, dueAt: number) {
	addWaiting(this, tasks, milliseconds, dueAt, true);
});

When('{int} late tasks of {int} ms wait, due in {int} ms', function (this: ShareWorld, tasks: number, milliseconds: number, dueAt: number) {
	addWaiting(this, tasks, milliseconds, dueAt, false);
});

Then('they are shared as {string}', function (this: ShareWorld, expected: string) {
	const shares = shareTasks(this.waitingSteps, this.others, 0);
	assert.ok(shares.every(({part}) => part === 'job-0/0'));
	assert.equal(shares.map(({cell, indexes}) => `${cell}: ${indexes.join(', ')}`).join('; '), expected);
});

const arbitraryCapacity = fc.record({
	cell: fc.constantFrom('east', 'south', 'west'),
	free: fc.array(fc.record({service: fc.constantFrom('sheets', 'quotes'), factor: fc.double({min: 0.3, max: 4, noNaN: true}), processor: fc.integer({min: -2000, max: 9000})}), {maxLength: 3}),
	waitMilliseconds: fc.integer({min: 0, max: 500}),
});

const arbitraryWaiting = fc.array(fc.tuple(fc.integer({min: 1, max: 12}), fc.integer({min: 1, max: 900}), fc.integer({min: 0, max: 2000}), fc.boolean()), {maxLength: 8});

Then('over {int} random loads no cell is sent more than its free capacity', (numberRuns: number) => {
	fc.assert(fc.property(fc.uniqueArray(arbitraryCapacity, {selector: ({cell}) => cell, maxLength: 3}), arbitraryWaiting, (others, loads) => {
		const waiting = loads.map(([tasks, milliseconds, dueAt, isInTime], position) => createWaiting(position, createStep(tasks, milliseconds), dueAt, isInTime));
		const shares = shareTasks(waiting, others, 0);
		for (const {cell, free} of others) {
			const sent = shares.filter(share => share.cell === cell).reduce((sum, {indexes}) => sum + (indexes.length * processorOfTask), 0);
			const freeProcessor = free.filter(({service}) => service === 'sheets').reduce((sum, {processor}) => sum + Math.max(0, processor), 0);
			assert.ok(sent <= freeProcessor);
		}

		const sentTasks = shares.flatMap(({part, indexes}) => indexes.map(index => `${part}.${index}`));
		assert.equal(new Set(sentTasks).size, sentTasks.length);
	}), {numRuns: numberRuns, seed});
});
