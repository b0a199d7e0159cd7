import assert from 'node:assert/strict';
import {syncBuiltinESMExports} from 'node:module';
import {setImmediate as untilIdle} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import {install} from '@sinonjs/fake-timers';
import {createServiceVersion, type ServiceVersion} from '../../version/service-version.js';
import {countOwnedSlots} from '../../version/slot-ownership.js';
import {lendSlots} from '../lending-calls.js';
import {InstanceState, type Peer} from '../membership.js';
import {PlacementPolicy} from '../placement-policy.js';
import {createServiceDispatchers, type ServiceDispatchers} from '../service-dispatchers.js';

type Phase = {readonly milliseconds: number; readonly loads: ReadonlyMap<string, number>};

type TaskRecord = {
	readonly phase: number;
	readonly team: string;
	readonly run: number;
	readonly arrivedAt: number;
	readonly isRefused: boolean;
	endedAt: number;
};

type FleetWorld = {
	version: ServiceVersion;
	instances: readonly ServiceDispatchers[];
	clock: ReturnType<typeof install>;
	phases: Phase[];
	records: TaskRecord[];
	calls: number;
	random: () => number;
};

const service = 'paysheet';
const zones = ['zone-a', 'zone-b', 'zone-c'];
const callerShares = [0.28, 0.2, 0.16, 0.14, 0.12, 0.1];
const teams = ['payroll', 'depots', 'farmers', 'surveyors'];
const greedyTeam = 'reruns';
const kinds = {
	reading: [50, 100], sheet: [100, 250], rejection: [250, 500], penalty: [500, 1000],
} as const;
const meanRunMilliseconds = 333;
const slots = 96;
const warmUpMilliseconds = 3000;
const sweepMilliseconds = 20;
const heartbeatMilliseconds = 500;
const oneWayMilliseconds = 2;
const seed = 7;
const deadlineMilliseconds = 60_000;

// The minimal standard generator of Park and Miller (1988).
const createRandom = (): (() => number) => {
	let state = seed;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
};

const pickOf = <Value>(values: readonly Value[], fraction: number): Value => values[Math.floor(fraction * values.length)]!;

const wait = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const nameOf = (number: number): string => `entry-${number}`;

const owners = callerShares.map((_, number) => ({instance: nameOf(number), zone: zones[number % zones.length]!, weight: 1}));

const describePeer = (world: FleetWorld, number: number): Peer => {
	const {dispatcher} = world.instances[number]!.serviceOf(service)!;
	return {
		...owners[number]!,
		incarnation: `run-${number}`,
		state: InstanceState.Serving,
		catalogueVersion: 1,
		intervalMilliseconds: heartbeatMilliseconds,
		hints: [{service, free: dispatcher.surplusWithinQuota(), waiting: dispatcher.waiting()}],
		leavingEndpoints: [],
		callerAddress: '',
		operatorAddress: '',
		peerAddress: '',
		lastHeartbeatAt: performance.now(),
		lastContactAt: performance.now(),
		isReachable: true,
	};
};

/** Creates the instances; each sees its peers as of the last heartbeat. */
const createInstances = (world: FleetWorld): void => {
	let announcedPeers: readonly Peer[] = [];
	const call = async <Reply>(lender: Peer, use: (dispatchers: ServiceDispatchers) => Reply | Promise<Reply>): Promise<Reply> => {
		world.calls++;
		await wait(oneWayMilliseconds);
		const reply = await use(world.instances[Number(lender.instance.slice(nameOf(0).length - 1))]!);
		await wait(oneWayMilliseconds);
		return reply;
	};

	world.instances = owners.map(({instance}) => createServiceDispatchers({
		instance,
		countOwnedSlots,
		policy: PlacementPolicy.SharesWithBorrowing,
		owners: () => owners,
		isLeavingEndpoint: () => false,
		peers: () => announcedPeers.filter(peer => peer.instance !== instance),
		borrowSlots: async (lender, _service, {held, teams: loads, ...request}) => call(lender, async dispatchers => lendSlots(dispatchers, {
			borrower: instance, service, held: [...held], teams: [...loads], ...request,
		})),
		returnSlots: async (lender, _service, leases) => call(lender, dispatchers => {
			dispatchers.serviceOf(service)!.lent.reclaim(instance, leases);
		}),
	}));
	for (const instance of world.instances) {
		instance.install(world.version);
	}

	setInterval(() => {
		announcedPeers = owners.map((_, number) => describePeer(world, number));
	}, heartbeatMilliseconds);
};

const runOne = async (instance: ServiceDispatchers, record: TaskRecord, kind: string): Promise<void> => {
	await instance.serviceOf(service)!.dispatcher.withSlot({kind, team: record.team, deadlineAt: record.arrivedAt + deadlineMilliseconds}, async ({endpoint}) => {
		await wait(record.run);
		instance.report(service, {
			endpoint, kind, durationMilliseconds: record.run, isSuccess: true,
		});
	});
	record.endedAt = performance.now();
};

/** Picks at random, by weight, the instance to which a caller is connected. */
const drawInstance = ({instances, random}: FleetWorld): ServiceDispatchers => {
	let remaining = random();
	for (const [number, share] of callerShares.entries()) {
		remaining -= share;
		if (remaining < 0) {
			return instances[number]!;
		}
	}

	return instances[0]!;
};

const arrive = (world: FleetWorld, phase: number, team: string): void => {
	const instance = drawInstance(world);
	const [kind, [from, to]] = pickOf(Object.entries(kinds), world.random());
	const run = from * ((to / from) ** world.random());
	const refusal = instance.admit(world.version, {deadlineMilliseconds, team, tasks: [{kind}] as never});
	const record: TaskRecord = {
		phase, team, run, arrivedAt: performance.now(), isRefused: refusal !== undefined, endedAt: Number.NaN,
	};
	world.records.push(record);
	if (!refusal) {
		void runOne(instance, record, kind);
	}
};

const advance = async (world: FleetWorld, now: number): Promise<void> => {
	if (now % sweepMilliseconds === 0) {
		for (const instance of world.instances) {
			instance.sweep();
		}
	}

	world.clock.tick(1);
	await untilIdle();
};

const runPhase = async (world: FleetWorld, phase: number, {milliseconds, loads}: Phase): Promise<void> => {
	const due = new Map([...loads.keys()].map(team => [team, 0]));
	for (let now = 0; now < milliseconds + warmUpMilliseconds; now++) {
		for (const [team, load] of loads) {
			let at = due.get(team)!;
			for (; at <= now; at -= Math.log(world.random()) * meanRunMilliseconds / (load * slots)) {
				arrive(world, now < warmUpMilliseconds ? 0 : phase, team);
			}

			due.set(team, at);
		}

		await advance(world, now);
	}
};

/** Runs all phases on the fake clock, once per scenario. */
const run = async (world: FleetWorld): Promise<void> => {
	if (world.records.length > 0) {
		return;
	}

	world.clock = install({now: performance.now(), toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	syncBuiltinESMExports();
	try {
		createInstances(world);
		for (const [position, phase] of world.phases.entries()) {
			await runPhase(world, position + 1, phase);
		}
	} finally {
		world.clock.uninstall();
		syncBuiltinESMExports();
	}
};

/** Tasks of the teams that stay within their quotas. */
const othersIn = ({records}: FleetWorld, phase: number): readonly TaskRecord[] =>
	records.filter(record => record.phase === phase && record.team !== greedyTeam);

const slowdownTail = (world: FleetWorld, phase: number): number => {
	const slowdowns = othersIn(world, phase)
		.filter(({endedAt}) => !Number.isNaN(endedAt))
		.map(({endedAt, arrivedAt, run: bare}) => (endedAt - arrivedAt) / bare)
		.toSorted((first, second) => first - second);
	return slowdowns[Math.floor(slowdowns.length * 0.99)]!;
};

Given('6 instances that lend each other the slots of 12 endpoints, and a fake clock', function (this: FleetWorld) {
	const endpointsOf = (zone: string, position: number): unknown =>
		[1, 2, 3, 4].map(number => ({name: `${zone}-${number}`, address: `10.0.${position}.${number}:80`, slots: 8}));
	const endpoints = Object.fromEntries(zones.map((zone, position) => [zone, endpointsOf(zone, position)]));
	const declared = Object.fromEntries(Object.entries(kinds).map(([kind, [from, to]]) => [kind, {runMilliseconds: Math.round((to - from) / Math.log(to / from))}]));
	const quotas = Object.fromEntries([...teams, greedyTeam].map(team => [team, {share: 0.2}]));
	const text = JSON.stringify({
		service, team: 'owners', endpoints, kinds: declared, quotas, timeoutMilliseconds: 60_000,
	});
	this.version = createServiceVersion({version: 1, text, document: parseServiceDocument(text, 'the document')});
	this.phases = [];
	this.records = [];
	this.calls = 0;
	this.random = createRandom();
});

When('4 of 5 teams offer {float} times the capacity for {int} ms', function (this: FleetWorld, load: number, milliseconds: number) {
	this.phases.push({milliseconds, loads: new Map(teams.map(team => [team, load / teams.length]))});
});

When('the fifth team additionally offers {int} times its quota for {int} ms', function (this: FleetWorld, times: number, milliseconds: number) {
	this.phases.push({milliseconds, loads: new Map([...this.phases.at(-1)!.loads, [greedyTeam, times * 0.2]])});
});

Then('no task of the 4 teams is refused', {timeout: 60_000}, async function (this: FleetWorld) {
	await run(this);
	const tasks = this.records.filter(({team}) => team !== greedyTeam);
	const refused = tasks.filter(({isRefused}) => isRefused).length;
	assert.equal(refused, 0, `${refused} of ${tasks.length}`);
});

const tailStepText = 'the 99th percentile of their slowdown in phase {int} is at most {float} times that in phase {int}';

Then(tailStepText, {timeout: 60_000}, async function (this: FleetWorld, phase: number, factor: number, reference: number) {
	await run(this);
	const [measured, alone] = [slowdownTail(this, phase), slowdownTail(this, reference)];
	assert.ok(measured <= alone * factor, `${measured} over ${alone}: ${measured / alone}`);
});

Then('fewer than {float} calls to peers were made per task', {timeout: 60_000}, async function (this: FleetWorld, maximum: number) {
	await run(this);
	const calls = this.calls / this.records.filter(({isRefused}) => !isRefused).length;
	assert.ok(calls < maximum, String(calls));
});
