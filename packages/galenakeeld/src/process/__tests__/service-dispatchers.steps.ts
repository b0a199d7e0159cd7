import assert from 'node:assert/strict';
import {setImmediate as untilIdle} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import {install} from '@sinonjs/fake-timers';
import {createServiceVersion, type ServiceVersion} from '../../version/service-version.js';
import {countOwnedSlots} from '../../version/slot-ownership.js';
import {PlacementPolicy} from '../placement-policy.js';
import {createServiceDispatchers, type ServiceDispatchers} from '../service-dispatchers.js';

type Load = {readonly team: string; readonly kind: string; readonly from: number; readonly to: number; readonly rate: number};

type TaskRecord = {
	readonly phase: number;
	readonly team: string;
	readonly arrivedAt: number;
	readonly run: number;
	readonly isRefused: boolean;
	startedAt: number;
	endedAt: number;
	endpoint: string;
	answers: number;
};

type Phase = {readonly milliseconds: number; readonly loads: readonly Load[]; readonly failing: readonly string[]};

type LoadWorld = {
	clock: ReturnType<typeof install>;
	phases: Phase[];
	nextFailing: string[];
	version: ServiceVersion;
	dispatchers: ServiceDispatchers;
	records: TaskRecord[];
	phaseStarts: number[];
	failing: ReadonlySet<string>;
	random: () => number;
};

const service = 'paysheet';
const slots = 40;
const sweepMilliseconds = 20;
const submission = {deadlineMilliseconds: 5000};
const defaultSeed = 7;

// The minimal standard generator of Park and Miller (1988).
const createRandom = (seed: number): (() => number) => {
	let state = seed;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
};

const shortLoad = (share: number, team = 'payroll'): Load => ({
	team, kind: 'sheet', from: 100, to: 300, rate: share * slots / 200,
});

const wait = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const runOne = async (world: LoadWorld, record: TaskRecord, kind: string): Promise<void> => {
	const {dispatcher} = world.dispatchers.serviceOf(service)!;
	await dispatcher.withSlot({kind, team: record.team, deadlineAt: record.arrivedAt + submission.deadlineMilliseconds}, async ({endpoint}) => {
		const isFailing = world.failing.has(endpoint.address);
		record.startedAt = performance.now();
		record.endpoint = endpoint.address;
		await wait(isFailing ? 1 : record.run);
		world.dispatchers.report(service, {
			endpoint, kind, durationMilliseconds: performance.now() - record.startedAt, isSuccess: !isFailing,
		});
	});
	record.endedAt = performance.now();
	record.answers++;
};

const submitRequest = (world: LoadWorld, {team, kind, from, to}: Load): void => {
	const refusal = world.dispatchers.admit(world.version, {...submission, team, tasks: [{kind}] as never});
	const record: TaskRecord = {
		phase: world.phaseStarts.length,
		team,
		arrivedAt: performance.now(),
		run: from + ((to - from) * world.random()),
		isRefused: refusal !== undefined,
		startedAt: 0,
		endedAt: 0,
		endpoint: '',
		answers: 0,
	};
	world.records.push(record);
	if (!refusal) {
		void runOne(world, record, kind);
	}
};

const runPhase = async (world: LoadWorld, {milliseconds, loads, failing}: Phase): Promise<void> => {
	world.phaseStarts.push(performance.now());
	world.failing = new Set(failing);
	const due = loads.map(() => 0);
	for (let now = 0; now < milliseconds; now++) {
		for (const [position, load] of loads.entries()) {
			for (; due[position]! <= now; due[position]! -= Math.log(world.random()) / load.rate) {
				submitRequest(world, load);
			}
		}

		if (now % sweepMilliseconds === 0) {
			world.dispatchers.sweep();
		}

		world.clock.tick(1);
		await untilIdle();
	}
};

const finish = async (world: LoadWorld): Promise<void> => {
	for (let now = 0; now < submission.deadlineMilliseconds; now += sweepMilliseconds) {
		world.dispatchers.sweep();
		world.clock.tick(sweepMilliseconds);
		await untilIdle();
	}
};

const answeredIn = ({records}: LoadWorld, phase: number, team = 'payroll'): readonly TaskRecord[] =>
	records.filter(record => record.phase === phase && record.team === team && record.answers > 0);

const percentile99Of = (values: readonly number[]): number => values.toSorted((first, second) => first - second)[Math.floor(values.length * 0.99)]!;

const responsePercentile99 = (world: LoadWorld, phase: number): number =>
	percentile99Of(answeredIn(world, phase).map(({endedAt, arrivedAt}) => endedAt - arrivedAt));

const createDispatchers = (): ServiceDispatchers => createServiceDispatchers({
	instance: 'entry-1',
	countOwnedSlots,
	policy: PlacementPolicy.Shares,
	owners: () => [{instance: 'entry-1', zone: 'zone-a', weight: 1}],
	isLeavingEndpoint: () => false,
	peers: () => [],
	borrowSlots: async () => undefined,
	returnSlots: async () => undefined,
});

/** Runs all phases on a simulated clock, once per scenario. */
const run = async (world: LoadWorld): Promise<void> => {
	if (world.records.length > 0) {
		return;
	}

	world.clock = install({now: performance.now(), toFake: ['performance', 'setTimeout', 'clearTimeout']});
	try {
		world.dispatchers = createDispatchers();
		world.dispatchers.install(world.version);
		for (const phase of world.phases) {
			await runPhase(world, phase);
		}

		await finish(world);
	} finally {
		world.clock.uninstall();
	}
};

const addPhase = (world: LoadWorld, milliseconds: number, loads: readonly Load[]): void => {
	world.phases.push({milliseconds, loads, failing: world.nextFailing});
};

Given('an instance with {int} endpoints of {int} slots and a simulated clock', function (this: LoadWorld, endpoints: number, slotsOfEndpoint: number) {
	const entries = Array.from({length: endpoints}, (_, number) => ({name: `worker-${number + 1}`, address: `10.0.0.${number + 1}:80`, slots: slotsOfEndpoint}));
	const text = JSON.stringify({service, team: 'owners', endpoints: {'zone-a': entries}});
	this.version = createServiceVersion({version: 1, text, document: parseServiceDocument(text, 'the document')});
	this.phases = [];
	this.nextFailing = [];
	this.records = [];
	this.phaseStarts = [];
	this.failing = new Set();
	this.random = createRandom(defaultSeed);
});

Given('the seed {int}', function (this: LoadWorld, seed: number) {
	this.random = createRandom(seed);
});

When('tasks of 100 to 300 ms arrive for {int} ms at {float} times the capacity', function (this: LoadWorld, milliseconds: number, share: number) {
	addPhase(this, milliseconds, [shortLoad(share)]);
});

When('tasks of 100 to 300 ms arrive for {int} ms at {float} times the capacity while another team sends 10 times as many', function (this: LoadWorld, milliseconds: number, share: number) {
	addPhase(this, milliseconds, [shortLoad(share), shortLoad(share * 10, 'depot')]);
});

const mixedLoadStep = 'tasks of 100 to 300 ms arrive for {int} ms at {float} times the capacity together with tasks of {int} ms at {float} times the capacity';

When(mixedLoadStep, function (this: LoadWorld, milliseconds: number, share: number, long: number, longShare: number) {
	const longLoad = {
		team: 'rerates', kind: 'rerate', from: long, to: long, rate: longShare * slots / long,
	};
	addPhase(this, milliseconds, [shortLoad(share), longLoad]);
});

Given('a peer has borrowed {int} slots', function (this: LoadWorld, count: number) {
	this.dispatchers = createDispatchers();
	this.dispatchers.install(this.version);
	this.dispatchers.serviceOf(service)!.lent.lend('entry-2', [], {count, withinQuota: 0}, performance.now());
	assert.equal(this.dispatchers.serviceOf(service)!.dispatcher.ledger.usable(), slots - count);
});

When('{int} requests arrive at once', function (this: LoadWorld, count: number) {
	for (let request = 0; request < count; request++) {
		submitRequest(this, shortLoad(1));
	}
});

Then('none is refused', function (this: LoadWorld) {
	assert.deepEqual(this.records.filter(({isRefused}) => isRefused), []);
});

When('endpoint {int} fails every task', function (this: LoadWorld, endpoint: number) {
	this.nextFailing = [`10.0.0.${endpoint}:80`];
});

Then('the goodput of phase {int} is at least {int}% of the capacity', {timeout: 60_000}, async function (this: LoadWorld, phase: number, percent: number) {
	await run(this);
	const from = this.phaseStarts[phase - 1]! + 1000;
	const to = this.phaseStarts[phase]!;
	let work = 0;
	for (const {startedAt, endedAt} of this.records.filter(({answers}) => answers > 0)) {
		work += Math.max(0, Math.min(to, endedAt) - Math.max(from, startedAt));
	}

	const goodput = work / (slots * (to - from));
	assert.ok(goodput * 100 >= percent, String(goodput));
});

Then('no refusal took longer than {int} ms', function (this: LoadWorld, milliseconds: number) {
	// A refusal is decided on arrival; an admitted task must not be refused later.
	const late = this.records.filter(({isRefused, answers}) => !isRefused && answers === 0);
	assert.equal(late.length, 0, `${late.length} tasks were refused after ${milliseconds} ms`);
});

Then('{int} ms after the start of phase {int} no task waits longer than {int} ms', function (this: LoadWorld, milliseconds: number, phase: number, longest: number) {
	const from = this.phaseStarts[phase - 1]! + milliseconds;
	const waits = answeredIn(this, phase).filter(({arrivedAt}) => arrivedAt >= from).map(({startedAt, arrivedAt}) => startedAt - arrivedAt);
	assert.ok(Math.max(...waits) <= longest, `${Math.max(...waits)} ms`);
});

Then('every task was answered once or refused', function (this: LoadWorld) {
	assert.ok(this.records.every(({isRefused, answers}) => answers === (isRefused ? 0 : 1)));
});

const responseTimeStep = 'the 99th percentile of the first team\'s response time in phase {int} is at most {float} times that in phase {int}';

Then(responseTimeStep, {timeout: 60_000}, async function (this: LoadWorld, phase: number, factor: number, reference: number) {
	await run(this);
	const [measured, alone] = [responsePercentile99(this, phase), responsePercentile99(this, reference)];
	assert.ok(measured <= alone * factor, `${measured} ms over ${alone} ms: ${measured / alone}`);
});

Then('endpoint {int} received less than {int}% of the tasks started in phase {int}', {timeout: 60_000}, async function (this: LoadWorld, endpoint: number, percent: number, phase: number) {
	await run(this);
	const starts = answeredIn(this, phase);
	const own = starts.filter(record => record.endpoint === `10.0.0.${endpoint}:80`);
	assert.ok(own.length * 100 < starts.length * percent, `${own.length} of ${starts.length}`);
});
