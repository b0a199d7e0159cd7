import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {
	checkSoak, DisturbanceKind, type Disturbance, type SoakJob, type SoakRun,
} from '../check-soak.js';

type SoakWorld = {
	soakJobs?: SoakJob[];
	soakRuns?: SoakRun[];
	soakDisturbances?: Disturbance[];
};

const mostAttempts = 2;

const splitNames = (text: string): readonly string[] => text.split(',').map(name => name.trim());

const addJob = (world: SoakWorld, steps: ReadonlyArray<readonly string[]>, call: {readonly daemon: string; readonly sentAt: number; readonly endedAt: number; readonly status: number | undefined; readonly state: string | undefined; readonly isUnread?: boolean; readonly hasGivenUp?: boolean}): void => {
	world.soakJobs ??= [];
	const identifier = `job-${world.soakJobs.length}`;
	world.soakJobs.push({
		identifier, steps, mostAttempts, calls: [{
			isUnread: false, hasGivenUp: false, ...call, job: identifier, detail: '',
		}],
	});
};

const addRun = (world: SoakWorld, run: SoakRun): void => {
	world.soakRuns ??= [];
	world.soakRuns.push(run);
};

Given('a soak with a job of the steps {string} and {string} at daemon {string}, sent at {int} and answered at {int} with {int} {string}', function (this: SoakWorld, first: string, second: string, daemon: string, sentAt: number, endedAt: number, status: number, state: string) {
	addJob(this, [splitNames(first), splitNames(second)], {
		daemon, sentAt, endedAt, status, state,
	});
});

Given('a job without tasks at daemon {string}, sent at {int} and broken off at {int}', function (this: SoakWorld, daemon: string, sentAt: number, endedAt: number) {
	addJob(this, [], {
		daemon, sentAt, endedAt, status: undefined, state: undefined,
	});
});

Given('a job without tasks at daemon {string}, sent at {int} and given up at {int}', function (this: SoakWorld, daemon: string, sentAt: number, endedAt: number) {
	addJob(this, [], {
		daemon, sentAt, endedAt, status: undefined, state: undefined, hasGivenUp: true,
	});
});

Given('a job of the task {string} at daemon {string}, sent at {int} and not connected at {int}', function (this: SoakWorld, task: string, daemon: string, sentAt: number, endedAt: number) {
	addJob(this, [[task]], {
		daemon, sentAt, endedAt, status: undefined, state: undefined, isUnread: true,
	});
});

Given('the task {string} ran from {int} to {int} and ended {string}', function (this: SoakWorld, task: string, startedAt: number, endedAt: number, end: string) {
	addRun(this, {
		task, startedAt, endedAt, end,
	});
});

Given('the task {string} ran from {int} on', function (this: SoakWorld, task: string, startedAt: number) {
	addRun(this, {
		task, startedAt, endedAt: undefined, end: undefined,
	});
});

Given('the daemon {string} was disturbed from {int} to {int}', function (this: SoakWorld, daemon: string, from: number, to: number) {
	this.soakDisturbances = [{
		kind: DisturbanceKind.Broken, daemon, from, to,
	}];
});

Given('the daemon {string} was leaving from {int} to {int}', function (this: SoakWorld, daemon: string, from: number, to: number) {
	this.soakDisturbances = [{
		kind: DisturbanceKind.Leaving, daemon, from, to,
	}];
});

Given('a job without tasks at daemon {string}, sent at {int} and not connected at {int}', function (this: SoakWorld, daemon: string, sentAt: number, endedAt: number) {
	addJob(this, [], {
		daemon, sentAt, endedAt, status: undefined, state: undefined, isUnread: true,
	});
});

const findRules = ({soakJobs = [], soakRuns = [], soakDisturbances = []}: SoakWorld): readonly string[] =>
	checkSoak({jobs: soakJobs, runs: soakRuns, disturbances: soakDisturbances}).map(({rule}) => rule);

Then('the soak finds nothing', function (this: SoakWorld) {
	assert.deepEqual(findRules(this), []);
});

Then('the soak finds {string}', function (this: SoakWorld, rule: string) {
	assert.deepEqual(findRules(this), [rule]);
});
