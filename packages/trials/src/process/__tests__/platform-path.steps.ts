import assert from 'node:assert/strict';
import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {call, type HttpReply} from '@galenakeel/stand-ins/connection/http-json.js';
import {createStandInConfiguration, createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {StoreFault} from '@galenakeel/stand-ins/process/table-store-stand-in.js';
import {WorkerFault, type WorkerRun, type WorkerStandIn} from '@galenakeel/stand-ins/process/worker-stand-in.js';
import {
	queueHost, startPlatformFleet, type PlatformDaemon, type PlatformFleet,
} from '../platform-fleet.js';

/**
A fleet, and the jobs that a scenario has submitted to it.
*/
export type PlatformWorld = {
	fleet: PlatformFleet;
	answers: Array<Promise<HttpReply>>;
	submitted: Array<readonly [identifier: string, body: unknown]>;
	nextIdentifier: number;
};

const processorOfTask = 1000;
const pollMilliseconds = 10;
const configurationVersion = 2;

const daemonOf = ({fleet}: PlatformWorld, position: number): PlatformDaemon => fleet.daemons[position - 1]!;

const createBody = (milliseconds: number, tasks: number): unknown => createStandInJob(milliseconds, processorOfTask, [{tasks}]);

const submit = (world: PlatformWorld, position: number, body: unknown): void => {
	const identifier = (world.nextIdentifier++).toString(16).padStart(16, '0');
	world.submitted.push([identifier, body]);
	world.answers.push(world.fleet.submit(daemonOf(world, position), identifier, body));
};

const runsOf = ({fleet}: PlatformWorld): readonly WorkerRun[] => fleet.workers.flatMap(worker => worker.runs());

const activeRuns = (world: PlatformWorld): readonly WorkerRun[] => runsOf(world).filter(({endedAt}) => endedAt === undefined);

const isBusy = (worker: WorkerStandIn): boolean => worker.runs().some(({endedAt}) => endedAt === undefined);

/** Waits until something runs, and for some milliseconds more. */
const untilRunning = async (world: PlatformWorld, milliseconds: number): Promise<void> => {
	while (activeRuns(world).length === 0) {
		await sleep(pollMilliseconds);
	}

	await sleep(milliseconds);
};

const workersOf = ({fleet}: PlatformWorld, zone: string): readonly WorkerStandIn[] => fleet.workers.filter(({identifier}) => identifier.startsWith(`i-${zone}-`));

const readStates = async (world: PlatformWorld): Promise<readonly string[]> => {
	const replies = await Promise.all(world.answers);
	return replies.map(({status, text}) => status === 200 ? (JSON.parse(text) as {State: string}).State : `${status} ${text}`);
};

Given('daemons on the platform in the zones {string} and {string}, {int} in each, with {int} endpoints in each', {timeout: 30_000}, async function (this: PlatformWorld, first: string, second: string, daemonsInZone: number, workersInZone: number) {
	this.fleet = await startPlatformFleet({zones: [first, second], daemonsInZone, workersInZone});
	this.answers = [];
	this.submitted = [];
	this.nextIdentifier = 1;
});

After(async function (this: Partial<PlatformWorld>) {
	// Answers that a scenario doesn't wait for end with their daemons.
	const answers = this.answers ?? [];
	await this.fleet?.stop();
	await Promise.allSettled(answers);
});

When('a job of {int} tasks of {int} ms, followed by {int} like tasks, is submitted to daemon {int}', function (this: PlatformWorld, tasks: number, milliseconds: number, laterTasks: number, position: number) {
	submit(this, position, createStandInJob(milliseconds, processorOfTask, [{tasks}, {tasks: laterTasks, after: [0]}]));
});

When('a job of {int} tasks of {int} ms is submitted to daemon {int}', function (this: PlatformWorld, tasks: number, milliseconds: number, position: number) {
	submit(this, position, createBody(milliseconds, tasks));
});

/**
Submits jobs of equal size to the daemon at a position, counted from 1.
*/
export const submitJobs = (world: PlatformWorld, position: number, jobs: number, {tasks, milliseconds}: {readonly tasks: number; readonly milliseconds: number}): void => {
	for (let count = 0; count < jobs; count++) {
		submit(world, position, createBody(milliseconds, tasks));
	}
};

When('{int} jobs of {int} tasks of {int} ms are submitted to daemon {int}', function (this: PlatformWorld, jobs: number, tasks: number, milliseconds: number, position: number) {
	submitJobs(this, position, jobs, {tasks, milliseconds});
});

When('a job of {int} tasks of {int} ms is submitted to daemon {int} by a caller that leaves after {int} ms', async function (this: PlatformWorld, tasks: number, milliseconds: number, position: number, leaveMilliseconds: number) {
	const body = createBody(milliseconds, tasks);
	await assert.rejects(this.fleet.submit(daemonOf(this, position), '00000000000000ff', body, leaveMilliseconds));
	assert.equal(runsOf(this).length, tasks);
});

When('an endpoint with tasks crashes after {int} ms', {timeout: 10_000}, async function (this: PlatformWorld, milliseconds: number) {
	await untilRunning(this, milliseconds);
	const busy = this.fleet.workers.find(worker => isBusy(worker));
	assert.ok(busy, 'no endpoint runs a task');
	busy.crash();
	this.fleet.listWorkers();
});

When('an endpoint with tasks falls silent after {int} ms', {timeout: 10_000}, async function (this: PlatformWorld, milliseconds: number) {
	await untilRunning(this, milliseconds);
	const busy = this.fleet.workers.find(worker => isBusy(worker));
	assert.ok(busy, 'no endpoint runs a task');
	busy.fault = WorkerFault.Silent;
});

/**
Kills a daemon some milliseconds after the first task has started.
*/
export const killDaemon = async (world: PlatformWorld, daemon: PlatformDaemon, milliseconds: number): Promise<void> => {
	await untilRunning(world, milliseconds);
	assert.ok(activeRuns(world).length > 0, 'nothing runs when the daemon is killed');
	for (const answer of world.answers) {
		// The answers of the killed daemon break off.
		void Promise.allSettled([answer]);
	}

	daemon.child().kill('SIGKILL');
};

When('daemon {int} is killed after {int} ms', {timeout: 10_000}, async function (this: PlatformWorld, position: number, milliseconds: number) {
	await killDaemon(this, daemonOf(this, position), milliseconds);
});

When('daemon {int} is told to leave after {int} ms', {timeout: 10_000}, async function (this: PlatformWorld, position: number, milliseconds: number) {
	await untilRunning(this, milliseconds);
	daemonOf(this, position).child().kill('SIGTERM');
});

When('all daemons are killed after {int} ms and started again', {timeout: 30_000}, async function (this: PlatformWorld, milliseconds: number) {
	await untilRunning(this, milliseconds);
	assert.ok(activeRuns(this).length > 0, 'nothing runs when the daemons are killed');
	for (const {child} of this.fleet.daemons) {
		child().kill('SIGKILL');
	}

	await Promise.allSettled(this.answers);
	this.answers = [];
	await Promise.all(this.fleet.daemons.map(async daemon => daemon.restart()));
});

When('the same jobs are submitted again to daemon {int}', function (this: PlatformWorld, position: number) {
	for (const [identifier, body] of this.submitted) {
		this.answers.push(this.fleet.submit(daemonOf(this, position), identifier, body));
	}
});

When('the store falls silent', function (this: PlatformWorld) {
	this.fleet.store.fault = StoreFault.Silent;
});

When('the first endpoint of {string} carries starts out late', function (this: PlatformWorld, zone: string) {
	workersOf(this, zone)[0]!.fault = WorkerFault.LateStarts;
});

When('the endpoints of {string} lose the answers to starts', function (this: PlatformWorld, zone: string) {
	for (const worker of workersOf(this, zone)) {
		worker.fault = WorkerFault.LostAnswers;
	}
});

When('the endpoints of {string} leave each third look without an answer', function (this: PlatformWorld, zone: string) {
	for (const worker of workersOf(this, zone)) {
		worker.fault = WorkerFault.LostPolls;
	}
});

Then('{int} jobs of {int} tasks of {int} ms, one after the other at daemon {int}, each end within {int} ms', {timeout: 30_000}, async function (this: PlatformWorld, jobs: number, tasks: number, milliseconds: number, position: number, mostMilliseconds: number) {
	const lasted: number[] = [];
	for (let count = 0; count < jobs; count++) {
		const beganAt = performance.now();
		submit(this, position, createBody(milliseconds, tasks));
		await this.answers.at(-1);
		lasted.push(Math.round(performance.now() - beganAt));
	}

	assert.ok(lasted.every(one => one <= mostMilliseconds), lasted.join(', '));
});

When('all endpoints fail what they start', function (this: PlatformWorld) {
	for (const worker of this.fleet.workers) {
		worker.fault = WorkerFault.FailsAll;
	}
});

When('the first endpoint of {string} fails what it starts', function (this: PlatformWorld, zone: string) {
	workersOf(this, zone)[0]!.fault = WorkerFault.FailsAll;
});

When('the first endpoint of {string} stalls', function (this: PlatformWorld, zone: string) {
	workersOf(this, zone)[0]!.fault = WorkerFault.Stalls;
});

When('the first endpoint of {string} drains', function (this: PlatformWorld, zone: string) {
	const worker = workersOf(this, zone)[0]!;
	this.fleet.store.put('servers', worker.identifier, worker.entry(zone, 'draining'));
});

When('the daemons have {int} ms to read the list', async (milliseconds: number) => {
	await sleep(milliseconds);
});

When('the store holds an entry of an endpoint that can\'t be read', function (this: PlatformWorld) {
	this.fleet.store.put('servers', 'i-other', 7);
	this.fleet.store.put('servers', 'i-text', 'no entry');
});

When('the body {string} is submitted to daemon {int} under {string}', async function (this: PlatformWorld, body: string, position: number, identifier: string) {
	const {callers} = daemonOf(this, position);
	this.answers.push(call(callers, 'POST', `/sheets/${identifier}`, {body, headers: {host: queueHost}}));
	await Promise.all(this.answers);
});

When('a job is submitted to daemon {int} on a path without a queue', function (this: PlatformWorld, position: number) {
	this.answers.push(call(daemonOf(this, position).callers, 'POST', '/other/5c0e7a21d94b36f8', {body: '{}', headers: {host: queueHost}}));
});

When('operators add a queue with the path {string}', function (this: PlatformWorld, path: string) {
	this.fleet.store.put('op', 'config', createStandInConfiguration(configurationVersion, queueHost, path));
});

Then('within {int} ms all daemons serve {string}', async function (this: PlatformWorld, milliseconds: number, path: string) {
	const until = performance.now() + milliseconds;
	for (const {callers} of this.fleet.daemons) {
		let status = 0;
		while (status !== 200 && performance.now() < until) {
			({status} = await call(callers, 'GET', path, {headers: {host: queueHost}}));
			await sleep(pollMilliseconds);
		}

		assert.equal(status, 200);
	}
});

Then('the answer is {string}', {timeout: 20_000}, async function (this: PlatformWorld, state: string) {
	assert.deepEqual(await readStates(this), [state]);
});

Then('the answer is {string} within {int} ms', {timeout: 20_000}, async function (this: PlatformWorld, state: string, milliseconds: number) {
	const began = performance.now();
	assert.deepEqual(await readStates(this), [state]);
	assert.ok(performance.now() - began <= milliseconds);
});

Then('all answers are {string}', {timeout: 20_000}, async function (this: PlatformWorld, state: string) {
	const states = await readStates(this);
	assert.deepEqual(states, states.map(() => state));
});

Then('a job of {int} tasks of {int} ms that is submitted to daemon {int} after {int} ms is answered with {int}', {timeout: 10_000}, async function (this: PlatformWorld, tasks: number, milliseconds: number, position: number, afterMilliseconds: number, expected: number) {
	await sleep(afterMilliseconds);
	const identifier = (this.nextIdentifier++).toString(16).padStart(16, '0');
	const {status, text} = await this.fleet.submit(daemonOf(this, position), identifier, createBody(milliseconds, tasks));
	assert.equal(status, expected, text);
});

Then('the status is {int}', async function (this: PlatformWorld, status: number) {
	const [reply] = await Promise.all(this.answers);
	assert.equal(reply!.status, status, reply!.text);
});

Then('every task ran once', function (this: PlatformWorld) {
	const tasks = runsOf(this).map(({task}) => task);
	assert.ok(tasks.length > 0);
	assert.equal(new Set(tasks).size, tasks.length);
	assert.ok(runsOf(this).every(({end}) => end === 'done'));
});

Then('no task of the second step began before the first step had ended', function (this: PlatformWorld) {
	const isOfStep = (step: number) => ({task}: WorkerRun): boolean => task.split('.')[2] === String(step);
	const firstEnds = Math.max(...runsOf(this).filter(run => isOfStep(0)(run)).map(({endedAt}) => endedAt!));
	const secondStarts = Math.min(...runsOf(this).filter(run => isOfStep(1)(run)).map(({startedAt}) => startedAt));
	assert.ok(secondStarts >= firstEnds, `${secondStarts} is before ${firstEnds}`);
});

Then('within {int} ms nothing runs', async function (this: PlatformWorld, milliseconds: number) {
	const until = performance.now() + milliseconds;
	while (activeRuns(this).length > 0 && performance.now() < until) {
		await sleep(pollMilliseconds);
	}

	assert.deepEqual(activeRuns(this), []);
});

Then('no task ran twice at the same time', function (this: PlatformWorld) {
	const runs = runsOf(this);
	const endOf = ({endedAt}: WorkerRun): number => endedAt ?? Number.POSITIVE_INFINITY;
	const overlaps = runs.filter(run => runs.some(other =>
		other !== run && other.task === run.task && other.startedAt <= run.startedAt && endOf(other) > run.startedAt));
	assert.deepEqual(overlaps, []);
});

Then('tasks ran in {string} and in {string}', function (this: PlatformWorld, first: string, second: string) {
	for (const zone of [first, second]) {
		assert.ok(workersOf(this, zone).some(worker => worker.runs().length > 0), `no task ran in ${zone}`);
	}
});

Then('the task ran {int} times', function (this: PlatformWorld, times: number) {
	assert.equal(runsOf(this).length, times);
});

Then('the first endpoint of {string} ran at most {int} tasks', function (this: PlatformWorld, zone: string, most: number) {
	const {length} = workersOf(this, zone)[0]!.runs();
	assert.ok(length <= most, `it ran ${length}`);
});

Then('daemon {int} ends with code {int}', {timeout: 10_000}, async function (this: PlatformWorld, position: number, code: number) {
	const child = daemonOf(this, position).child();
	if (child.exitCode === null) {
		await once(child, 'exit');
	}

	assert.equal(child.exitCode, code);
});
