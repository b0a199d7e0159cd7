import assert from 'node:assert/strict';
import {
	Before, Given, Then, When,
} from '@cucumber/cucumber';
import {
	Admission, admitJob, expectedValueShare, type AdmissionDecision, type ArrivingJob, type CellCapacity, type ValuedJob,
} from '../admit-job.js';
import type {SimulatedSlot} from '../predict-ends.js';

type AdmissionWorld = {
	slots: SimulatedSlot[];
	others: CellCapacity[];
	waitingJobs: ValuedJob[];
	decision: AdmissionDecision;
};

const processorOfTask = 1000;
const expiryObjectives = 3;
const tolerance = 0.05;

const createJob = (identifier: string, tasks: number, estimateMilliseconds: number, dueIn: number): ValuedJob => ({
	identifier,
	steps: [{tasks, estimateMilliseconds}],
	dueIn,
	expiresIn: expiryObjectives * dueIn,
	objectiveMilliseconds: dueIn,
	value: tasks * estimateMilliseconds * processorOfTask,
	rank: dueIn - estimateMilliseconds,
});

Before(function (this: Partial<AdmissionWorld>) {
	this.others = [];
	this.waitingJobs = [];
});

Given('{int} slots, free in {int} ms', function (this: AdmissionWorld, count: number, freeInMilliseconds: number) {
	this.slots = Array.from({length: count}, () => ({freeInMilliseconds, factor: 1}));
});

const addWaiting = (world: AdmissionWorld, count: number, tasks: number, milliseconds: number, dueIn: number): void => {
	for (let added = 0; added < count; added++) {
		world.waitingJobs.push(createJob(`waiting-${world.waitingJobs.length}`, tasks, milliseconds, dueIn));
	}
};

Given('a job of {int} tasks of {int} ms waits, due in {int} ms', function (this: AdmissionWorld, tasks: number, milliseconds: number, dueIn: number) {
	addWaiting(this, 1, tasks, milliseconds, dueIn);
});

Given('{int} jobs of {int} tasks of {int} ms wait, due in {int} ms', function (this: AdmissionWorld, count: number, tasks: number, milliseconds: number, dueIn: number) {
	addWaiting(this, count, tasks, milliseconds, dueIn);
});

Given('the cell {string} has {int} thousandths free', function (this: AdmissionWorld, cell: string, freeProcessor: number) {
	this.others.push({cell, free: [{service: 'sheets', factor: 1, processor: freeProcessor}], waitMilliseconds: 0});
});

Given('the cell {string} has {int} thousandths free and {int} ms of work waiting', function (this: AdmissionWorld, cell: string, freeProcessor: number, waitMilliseconds: number) {
	this.others.push({cell, free: [{service: 'sheets', factor: 1, processor: freeProcessor}], waitMilliseconds});
});

const arrive = (world: AdmissionWorld, job: ValuedJob, isRedirected: boolean): void => {
	const isFree = world.slots.every(({freeInMilliseconds}) => freeInMilliseconds === 0) && world.waitingJobs.length === 0;
	const processor = processorOfTask * job.steps[0]!.tasks;
	const arriving: ArrivingJob = {
		...job, processor, freeProcessor: isFree ? processor : 0, isRedirected,
	};
	world.decision = admitJob(arriving, world.waitingJobs, world.slots, world.others);
};

When('a job of {int} tasks of {int} ms arrives, due in {int} ms', function (this: AdmissionWorld, tasks: number, milliseconds: number, dueIn: number) {
	arrive(this, createJob('arriving', tasks, milliseconds, dueIn), false);
});

When('a redirected job of {int} tasks of {int} ms arrives, due in {int} ms', function (this: AdmissionWorld, tasks: number, milliseconds: number, dueIn: number) {
	arrive(this, createJob('arriving', tasks, milliseconds, dueIn), true);
});

Then('it is accepted', function (this: AdmissionWorld) {
	assert.equal(this.decision.admission, Admission.Accept);
});

Then('it is refused', function (this: AdmissionWorld) {
	assert.equal(this.decision.admission, Admission.Refuse);
});

Then('it is redirected to {string}', function (this: AdmissionWorld, cell: string) {
	assert.ok(this.decision.admission === Admission.Redirect);
	assert.equal(this.decision.cell, cell);
});

Then('an answer due in {int} ms and expired in {int} ms has a value over {float} at {int} ms, about {float} at {int} ms, about {float} at {int} ms and {int} at {int} ms', (dueIn: number, expiresIn: number, early: number, earlyAt: number, middle: number, middleAt: number, late: number, lateAt: number, never: number, neverAt: number) => {
	const valueAt = (endsIn: number): number => expectedValueShare({dueIn, expiresIn, objectiveMilliseconds: dueIn}, endsIn);
	assert.ok(valueAt(earlyAt) > early);
	assert.ok(Math.abs(valueAt(middleAt) - middle) < tolerance);
	assert.ok(Math.abs(valueAt(lateAt) - late) < tolerance);
	assert.equal(valueAt(neverAt), never);
});
