import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {GuardState} from '@galenakeel/model/process/guard-state.js';
import {AttemptResult, createEndpointGuard, type EndpointGuard} from '../endpoint-guard.js';
import {createEndpointGuards, type EndpointGuards} from '../endpoint-guards.js';
import {createRetryBudget, type RetryBudget} from '../retry-budget.js';
import {createRunningTasks, type RunningTasks} from '../running-tasks.js';
import {createSlotLedger, type SlotLedger} from '../slot-ledger.js';
import {TaskLength} from '../task-queue.js';

type GuardWorld = {runningTasks: RunningTasks; guard: EndpointGuard; attempts: number; budget: RetryBudget; ledger: SlotLedger; guards: EndpointGuards};

const address = '127.0.0.1:8080';
const otherAddress = '127.0.0.1:8081';
const sweepMilliseconds = 750;

const runTasksOn = (world: GuardWorld, count: number, maximumExpectedMilliseconds: number): void => {
	const running = createRunningTasks();
	world.runningTasks = running;
	world.ledger = createSlotLedger(() => undefined);
	const endpoint = {
		name: 'worker', zone: 'zone-a', slots: 8, connections: 64, speed: 1,
	};
	world.ledger.install([{...endpoint, address}, {...endpoint, address: otherAddress}], new Map([[address, 8]]), 1);
	const slots = world.ledger.slotsOf(address)!;
	for (let task = 0; task < count; task++) {
		world.ledger.acquire(slots);
		running.add({
			slots, startedAt: 0, overrunAt: Infinity, maximumExpectedMilliseconds, length: TaskLength.Short,
		});
	}

	world.guards = createEndpointGuards({
		ledger: world.ledger, running, limits: () => ({failuresBeforeOpen: 3, probationMilliseconds: 1000, retryBudget: 0}), maximumExpectedRunTime: () => maximumExpectedMilliseconds,
	});
};

Given('an endpoint on which a task runs that is expected to take {int} ms at most', function (this: GuardWorld, maximum: number) {
	runTasksOn(this, 1, maximum);
});

Given('an endpoint on which {int} tasks run that are expected to take {int} ms at most', function (this: GuardWorld, count: number, maximum: number) {
	runTasksOn(this, count, maximum);
});

Given('{int} of {int} tasks are as long overdue on another endpoint, which answers', function (this: GuardWorld, overdue: number, running: number) {
	const {endpoint} = this.ledger.slotsOf(otherAddress)!;
	this.guards.report({
		endpoint, kind: '', durationMilliseconds: 100, isSuccess: true,
	}, sweepMilliseconds - 1);
	for (let number = 0; number < running; number++) {
		const startedAt = number < overdue ? 0 : sweepMilliseconds - 1;
		this.runningTasks.add({
			slots: this.ledger.slotsOf(otherAddress)!, startedAt, overrunAt: Infinity, maximumExpectedMilliseconds: 400, length: TaskLength.Short,
		});
	}
});

Given('{int} endpoints of which {int} have not answered for far longer than their tasks take', function (this: GuardWorld, count: number, silent: number) {
	const endpoints = Array.from({length: count}, (_, number) => ({
		name: `worker-${number}`, address: `10.0.0.${number}:80`, zone: 'zone-a', slots: 8, connections: 64, speed: 1,
	}));
	this.ledger = createSlotLedger(() => undefined);
	this.ledger.install(endpoints, new Map(endpoints.map(endpoint => [endpoint.address, 8])), 1);
	this.runningTasks = createRunningTasks();
	for (const [number, slots] of [...this.ledger.all()].entries()) {
		const startedAt = number < silent ? 0 : sweepMilliseconds - 1;
		this.runningTasks.add({
			slots, startedAt, overrunAt: Infinity, maximumExpectedMilliseconds: 400, length: TaskLength.Short,
		});
	}

	this.guards = createEndpointGuards({
		ledger: this.ledger, running: this.runningTasks, limits: () => ({failuresBeforeOpen: 3, probationMilliseconds: 1000, retryBudget: 0}), maximumExpectedRunTime: () => 400,
	});
});

When('the circuit breakers are checked', function (this: GuardWorld) {
	this.guards.sweep(sweepMilliseconds);
});

Then('{int} endpoints are considered frozen', function (this: GuardWorld, count: number) {
	const frozen = [...this.ledger.all()].filter(({endpoint}) => this.guards.statusOf(endpoint.address).state === GuardState.Open);
	assert.equal(frozen.length, count);
});

Given('an endpoint on which a task of unknown size runs', function (this: GuardWorld) {
	runTasksOn(this, 1, Infinity);
});

When('the circuit breakers are checked after {int} ms', function (this: GuardWorld, now: number) {
	// One sweep detects a frozen endpoint, and the next allows a probe that is due.
	this.guards.sweep(now - 1);
	this.guards.sweep(now);
});

Then('the endpoint may take {int} further tasks', function (this: GuardWorld, count: number) {
	assert.equal(this.ledger.free(), count);
});

Given('a circuit breaker that opens after {int} failures for {int} ms', function (this: GuardWorld, failuresBeforeOpen: number, probationMilliseconds: number) {
	this.guard = createEndpointGuard(() => ({failuresBeforeOpen, probationMilliseconds, retryBudget: 0}));
});

Given('a retry budget of {float}', function (this: GuardWorld, share: number) {
	this.budget = createRetryBudget(() => share);
});

When('the endpoint fails every task that it receives for {int} ms', function (this: GuardWorld, duration: number) {
	this.attempts = 0;
	for (let now = 0; now < duration; now += 10) {
		this.guard.allowProbe(now);
		if (this.guard.state() !== GuardState.Open) {
			this.attempts++;
			this.guard.record(AttemptResult.ServerError, now);
		}
	}
});

When('the endpoint fails {int} tasks at {int} ms', function (this: GuardWorld, count: number, at: number) {
	for (let number = 0; number < count; number++) {
		this.guard.record(AttemptResult.NoAnswer, at);
	}
});

When('the endpoint answers a task at {int} ms', function (this: GuardWorld, at: number) {
	this.guard.record(AttemptResult.Answered, at);
});

When('every fourth task of {int} fails', function (this: GuardWorld, count: number) {
	for (let number = 0; number < count; number++) {
		this.guard.record(number % 4 === 0 ? AttemptResult.ServerError : AttemptResult.Answered, 0);
	}
});

When('the endpoint is detected as frozen at {int} ms', function (this: GuardWorld, at: number) {
	this.guard.markFrozen(at);
});

When('{int} tasks start and each asks to be retried', function (this: GuardWorld, count: number) {
	this.attempts = 0;
	for (let number = 0; number < count; number++) {
		this.budget.recordAttempt();
		if (this.budget.spend()) {
			this.attempts++;
			this.budget.recordAttempt();
		}
	}
});

Then('it received at most {int} tasks', function (this: GuardWorld, count: number) {
	assert.ok(this.attempts <= count, String(this.attempts));
});

Then('the breaker is {string} at {int} ms', function (this: GuardWorld, state: string, at: number) {
	this.guard.allowProbe(at);
	assert.equal(this.guard.state(), state);
});

Then('at most {int} retries are granted', function (this: GuardWorld, count: number) {
	assert.ok(this.attempts <= count, String(this.attempts));
});

Then('the status of its breaker is {string} for {string}', function (this: GuardWorld, state: string, reason: string) {
	assert.deepEqual(this.guards.statusOf(address), {state, reason});
});

Then('the status of its breaker is {string}', function (this: GuardWorld, state: string) {
	assert.deepEqual(this.guards.statusOf(address), {state});
});
