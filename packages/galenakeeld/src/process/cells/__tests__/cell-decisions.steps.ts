import assert from 'node:assert/strict';
import {
	type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {
	HealthEvent, healthAt, newEndpointHealth, updateHealth, type EndpointHealth,
} from '../endpoint-health.js';
import {createEndpointSpeeds, type EndpointSpeeds} from '../endpoint-speeds.js';
import {compareUrgency, urgencyOf} from '../job-urgency.js';
import {createSchedule, type SimulatedSlot} from '../predict-ends.js';

type DecisionWorld = {
	health: EndpointHealth;
	healthNow: number;
	speeds: EndpointSpeeds;
	simulatedSlots: SimulatedSlot[];
};

const learned = 'learned';
const estimateMilliseconds = 100;

Then('the order of these jobs is {string}', (expected: string, table: DataTable) => {
	const jobs = table.hashes().map(row => ({
		name: row.job!,
		urgency: urgencyOf({
			dueAt: Number(row['due in']), remainingMilliseconds: Number(row.needs), toleranceMilliseconds: 0, hasStarted: row.started === 'yes', priority: Number(row.priority),
		}, 0),
	}));
	assert.equal(jobs.toSorted((first, second) => compareUrgency(first.urgency, second.urgency)).map(({name}) => name).join(', '), expected);
});

Given('a healthy endpoint', function (this: DecisionWorld) {
	this.health = newEndpointHealth;
	this.healthNow = 0;
});

const recordEvent = (world: DecisionWorld, event: HealthEvent, now: number): void => {
	world.health = updateHealth(healthAt(world.health, now), event, now);
	world.healthNow = now;
};

When('a run fails at {int} ms', function (this: DecisionWorld, now: number) {
	recordEvent(this, HealthEvent.Failed, now);
});

When('a run stalls at {int} ms', function (this: DecisionWorld, now: number) {
	recordEvent(this, HealthEvent.Stalled, now);
});

When('a run succeeds at {int} ms', function (this: DecisionWorld, now: number) {
	recordEvent(this, HealthEvent.Succeeded, now);
});

Then('it is {string}', function (this: DecisionWorld, state: string) {
	assert.equal(healthAt(this.health, this.healthNow).state, state);
});

Then('at {int} ms it is {string}', function (this: DecisionWorld, now: number, state: string) {
	assert.equal(healthAt(this.health, now).state, state);
});

When('{int} runs at an endpoint of kind {string} take {float} times their estimates', function (this: DecisionWorld, runs: number, kind: string, factor: number) {
	this.speeds = createEndpointSpeeds();
	for (let run = 0; run < runs; run++) {
		this.speeds.record(learned, kind, estimateMilliseconds, factor * estimateMilliseconds);
	}
});

When('another daemon takes over', function (this: DecisionWorld) {
	this.speeds = createEndpointSpeeds(this.speeds.kindFactors());
});

Then('that endpoint counts as {float} times its estimates, within {float}', function (this: DecisionWorld, factor: number, tolerance: number) {
	assert.ok(Math.abs(this.speeds.factorOf(learned, 'b') - factor) <= tolerance);
});

Then('another endpoint of kind {string} counts as {float} times its estimates, within {float}', function (this: DecisionWorld, kind: string, factor: number, tolerance: number) {
	assert.ok(Math.abs(this.speeds.factorOf('other', kind) - factor) <= tolerance);
});

Given('simulated slots that are free in {string} ms', function (this: DecisionWorld, times: string) {
	this.simulatedSlots = times.split(',').map(time => ({freeInMilliseconds: Number(time), factor: 1}));
});

Then('jobs of {string} tasks are predicted to end in {string} ms', function (this: DecisionWorld, jobs: string, ends: string) {
	const schedule = createSchedule(this.simulatedSlots);
	const predicted = jobs.split(',').map((job, position) => {
		const [tasks, milliseconds] = job.split('x').map(Number);
		return schedule.append({identifier: String(position), steps: [{tasks: tasks!, estimateMilliseconds: milliseconds!}]});
	});
	assert.equal(predicted.join(', '), ends);
});
