import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	AttemptResult, createEndpointGuard, GuardState, type EndpointGuard,
} from '../endpoint-guard.js';
import {createRetryBudget, type RetryBudget} from '../retry-budget.js';

type GuardWorld = {guard: EndpointGuard; attempts: number; budget: RetryBudget};

Given('a circuit breaker that opens after {int} failures for {int} ms', function (this: GuardWorld, failuresBeforeOpen: number, probationMilliseconds: number) {
	this.guard = createEndpointGuard(() => ({failuresBeforeOpen, probationMilliseconds, retryBudget: 0}));
});

Given('a retry budget of {float}', function (this: GuardWorld, share: number) {
	this.budget = createRetryBudget(() => share);
});

When('the endpoint fails every task that it gets for {int} ms', function (this: GuardWorld, duration: number) {
	this.attempts = 0;
	for (let now = 0; now < duration; now += 10) {
		this.guard.look(now);
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

When('the endpoint is found frozen at {int} ms', function (this: GuardWorld, at: number) {
	this.guard.freeze(at);
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

Then('it got at most {int} tasks', function (this: GuardWorld, count: number) {
	assert.ok(this.attempts <= count, String(this.attempts));
});

Then('the breaker is {string} at {int} ms', function (this: GuardWorld, state: string, at: number) {
	this.guard.look(at);
	assert.equal(this.guard.state(), state);
});

Then('at most {int} retries are granted', function (this: GuardWorld, count: number) {
	assert.ok(this.attempts <= count, String(this.attempts));
});
