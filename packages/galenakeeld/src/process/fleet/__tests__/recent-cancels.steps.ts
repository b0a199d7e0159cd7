import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {FleetMessageKind, type JobOrder} from '@galenakeel/model/connection/fleet-message.js';
import {createRecentCancels, type RecentCancels} from '../recent-cancels.js';

type CancelsWorld = {
	cancelsClock: Clock;
	recentCancels: RecentCancels;
	assignments: number;
};

const part = '0';

const createOrder = (identifier: string, assignment: number): JobOrder => ({
	job: {identifier, specification: '', steps: []},
	part,
	assignment,
	assignedMillisecondsAgo: 0,
	service: 'sheets',
	queue: 'sheets',
	priority: 0,
	mostAttempts: 1,
	objectiveMilliseconds: 1000,
	dueInMilliseconds: 1000,
	worthlessInMilliseconds: 3000,
	excluded: [],
	generation: 0,
	highestToken: 0,
	moves: 0,
	isCommitted: false,
});

const advanceTo = ({cancelsClock}: CancelsWorld, milliseconds: number): void => {
	cancelsClock.tick(milliseconds - performance.now());
};

Given('cancels that are kept for {int} ms', function (this: CancelsWorld, milliseconds: number) {
	this.cancelsClock = install({toFake: ['performance']});
	this.assignments = 0;
	this.recentCancels = createRecentCancels(milliseconds);
});

After(function (this: Partial<CancelsWorld>) {
	this.cancelsClock?.uninstall();
});

When('the job {string} is cancelled at {string} at {int} ms', function (this: CancelsWorld, job: string, address: string, milliseconds: number) {
	advanceTo(this, milliseconds);
	this.assignments++;
	this.recentCancels.record(address, {
		kind: FleetMessageKind.Cancel, cell: 'north', job, part, assignment: this.assignments,
	});
});

When('the job {string} is submitted to {string} at {int} ms', function (this: CancelsWorld, job: string, address: string, milliseconds: number) {
	advanceTo(this, milliseconds);
	this.assignments++;
	this.recentCancels.record(address, {
		kind: FleetMessageKind.Submit, cell: 'north', term: 1, order: createOrder(job, this.assignments),
	});
});

Then('the cancels for {string} at {int} ms are {string}', function (this: CancelsWorld, address: string, milliseconds: number, expected: string) {
	advanceTo(this, milliseconds);
	assert.equal(this.recentCancels.of(address).map(message => message.kind === FleetMessageKind.Cancel ? message.job : message.kind).join(', '), expected);
});
