import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {CallOutcome, type ActiveRun, type EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {createCell, type Cell} from '../cell.js';

type LoggedDecision = {readonly decision: string; readonly fields: Readonly<Record<string, unknown>>};

type RunLogWorld = {
	runLogClock: Clock;
	loggedCell: Cell;
	decisions: LoggedDecision[];
};

const job = '5c0e7a21d94b36f8';
const room = {processor: 1000, memoryMegabytes: 1, accelerators: 0};
const firstPollMilliseconds = 50;

const toTask = (position: string): TaskKey => {
	const [step, index] = position.split('.').map(Number);
	return {job, step: step!, index: index!};
};

/** Calls to an endpoint on which runs never end. */
const createBusyEndpoint = (clock: Clock, initial: readonly ActiveRun[]): EndpointCalls => {
	let active = initial;
	const answer = {outcome: CallOutcome.Done, clockMilliseconds: undefined};
	return {
		async start({task, attempt}) {
			active = [...active, {task, attempt, processorInUse: 1000}];
			return answer;
		},
		async stop() {
			return answer;
		},
		async poll({waitMilliseconds}) {
			await new Promise(resolve => {
				clock.setTimeout(resolve, Math.max(1, waitMilliseconds));
			});
			return {outcome: CallOutcome.Done, report: {clockMilliseconds: clock.now, active, ended: []}};
		},
		close() {
			// Nothing is open.
		},
	};
};

const createLoggedCell = async (world: RunLogWorld, token: number, active: readonly ActiveRun[]): Promise<void> => {
	world.runLogClock = install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate', 'Date'], shouldClearNativeTimers: true});
	world.decisions = [];
	world.loggedCell = createCell({
		name: 'north',
		token: () => token,
		holdMaximumMilliseconds: 1000,
		unconfirmedRunMilliseconds: 1300,
		lastConfirmedBy: () => performance.now(),
		requestConfirmation() {
			// The confirmations of holders are set above.
		},
		remotePenalty: 1,
		kindFactors: () => ({}),
		createCalls: () => createBusyEndpoint(world.runLogClock, active),
		notify() {
			// Only the log is checked.
		},
		otherCells: () => [],
		onRedirected() {
			throw new Error('there is no other cell');
		},
		onFenced() {
			throw new Error('the endpoint has a single owner');
		},
		onDecision(decision, fields) {
			world.decisions.push({decision, fields});
		},
		onTaskWait() {
			// Only the log is checked.
		},
	});
	world.loggedCell.install([{
		identifier: 'i-1', startedAt: 1, service: 'sheets', address: '', zone: 'north', isDraining: false, room: {...room, processor: 2000}, labels: [],
	}]);
	await world.runLogClock.tickAsync(firstPollMilliseconds);
};

const findDecision = ({decisions}: RunLogWorld, decision: string, task: string): Readonly<Record<string, unknown>> =>
	decisions.find(one => one.decision === decision && one.fields.task === task)!.fields;

Given('a cell with the token {int} whose endpoint runs attempt {int} of the task {string}', async function (this: RunLogWorld, token: number, attempt: number, task: string) {
	await createLoggedCell(this, token, [{task: toTask(task), attempt, processorInUse: 1000}]);
});

Given('a cell with the token {int} whose endpoint runs nothing', async function (this: RunLogWorld, token: number) {
	await createLoggedCell(this, token, []);
});

After(function (this: Partial<RunLogWorld>) {
	this.loggedCell?.close();
	this.runLogClock?.uninstall();
});

const submit = async ({loggedCell, runLogClock}: RunLogWorld, generation: number): Promise<void> => {
	loggedCell.submit('holder', {
		job: {
			identifier: job, specification: '', steps: [{
				tasks: 1, room, estimateMilliseconds: 200, after: [],
			}],
		},
		part: '0',
		assignment: 1,
		assignedMillisecondsAgo: 0,
		service: 'sheets',
		queue: 'sheets',
		priority: 0,
		mostAttempts: 2,
		objectiveMilliseconds: 1000,
		dueInMilliseconds: 1000,
		worthlessInMilliseconds: 3000,
		excluded: [],
		generation,
		earlierRunsMilliseconds: 0,
		highestToken: 0,
		moves: 0,
		isCommitted: generation > 0,
	});
	await runLogClock.tickAsync(1);
};

When('the job of that task is submitted in generation {int}', async function (this: RunLogWorld, generation: number) {
	await submit(this, generation);
});

When('the job of the task {string} is submitted in generation {int}', async function (this: RunLogWorld, _: string, generation: number) {
	await submit(this, generation);
});

When('the cell waits for {int} ms', async function (this: RunLogWorld, milliseconds: number) {
	await this.runLogClock.tickAsync(milliseconds);
});

Then('{string} is logged for {string} with attempt {int}, generation {int} and token {int}', function (this: RunLogWorld, decision: string, task: string, attempt: number, generation: number, token: number) {
	const fields = findDecision(this, decision, task);
	assert.deepEqual([fields.attempt, fields.generation, fields.token], [attempt, generation, token]);
});

Then('{string} is logged for {string} with attempt {int}, from {int} to {int} ms after the claim', function (this: RunLogWorld, decision: string, task: string, attempt: number, earliest: number, latest: number) {
	const fields = findDecision(this, decision, task);
	assert.equal(fields.attempt, attempt);
	assert.ok(Number(fields.sinceClaimMilliseconds) >= earliest && Number(fields.sinceClaimMilliseconds) <= latest);
});

Then('{string} is not logged', function (this: RunLogWorld, decision: string) {
	assert.ok(this.decisions.every(one => one.decision !== decision));
});

Then('the cell shows {int} active tasks, {int} waiting tasks, {int} of {int} endpoints reachable, and the run {string} with attempt {int}', function (this: RunLogWorld, active: number, waiting: number, reachable: number, endpoints: number, task: string, attempt: number) {
	const content = this.loggedCell.observe();
	assert.deepEqual([content.tasksActive, content.tasksWaiting, content.endpointsReachable, content.endpoints], [active, waiting, reachable, endpoints]);
	assert.deepEqual(this.loggedCell.runs().map(run => [run.task, run.attempt]), [[task, attempt]]);
});
