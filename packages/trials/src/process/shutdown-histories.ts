import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Violation} from '../request/check-history.js';
import type {CallerOperation, History} from '../request/history.js';
import type {Random} from '../request/random.js';
import {ProvePoint} from '../version/prove-point.js';
import type {FaultHistory} from './fault-history.js';
import {startFleet, type Fleet} from './fleet.js';
import {collectStarts, recordSubmission} from './history-recorder.js';
import {startClosedLoad, type CallerLoad} from './caller-load.js';

const service = 'paysheet';
const inForceMilliseconds = 800;
const announceMilliseconds = 800;
const idleCallerMilliseconds = 1000;
const exitTimeoutMilliseconds = 15_000;
const readyTimeoutMilliseconds = 15_000;
const slots = 8;
const queueLimitMilliseconds = 10_000;

const settings = {
	peers: {heartbeatMilliseconds: 100},
	platform: {pollMilliseconds: 200},
	drain: {announceMilliseconds, limitMilliseconds: exitTimeoutMilliseconds},
	limits: {idleCallerMilliseconds},
};

const startShutdownFleet = async (): Promise<Fleet> => {
	const fleet = await startFleet({
		zones: ['zone-a', 'zone-b'], daemonsPerZone: 1, endpointsPerZone: 1, slots, settings,
	});
	await fleet.accept(service);
	await sleep(inForceMilliseconds);
	return fleet;
};

/**
Starts callers that send through the load balancer. Some keep their connections and pause for up to twice the idle limit that the server announces; others open a connection for each request.
*/
const startBalancedLoad = (fleet: Fleet, history: History, random: Random): readonly CallerLoad[] => {
	const shape = {
		service, instances: [fleet.daemons[0]!.instance], address: fleet.balancer.address, runMilliseconds: 20,
	};
	// A client must close an idle connection before the server does; the Keep-Alive header of the answer announces the limit.
	const agents = Array.from({length: 10}, () => new Agent({keepAlive: true, maxSockets: 1}));
	return [
		startClosedLoad(fleet, history, shape, {
			callers: 6, agents, maximumPauseMilliseconds: 60, random,
		}),
		startClosedLoad(fleet, history, shape, {
			callers: 4, agents: agents.slice(6), maximumPauseMilliseconds: idleCallerMilliseconds * 2, random,
		}),
		startClosedLoad(fleet, history, shape, {callers: 3, maximumPauseMilliseconds: 30, random}),
		startClosedLoad(fleet, history, {...shape, tasks: 4}, {callers: 2, maximumPauseMilliseconds: 60, random}),
	];
};

const checkComplete = (operations: readonly CallerOperation[]): readonly Violation[] => operations
	.filter(({outcome}) => outcome !== Outcome.Complete)
	.map(({tasks, outcome, status, text}) => ({point: ProvePoint.GracefulShutdown, detail: `${tasks[0]} was answered "${outcome}" with status ${status}: ${text.slice(0, 200)}`}));

const stopLoads = async (loads: readonly CallerLoad[]): Promise<readonly Violation[]> => {
	const operations = await Promise.all(loads.map(async load => load.stop()));
	return operations.flatMap(ofLoad => checkComplete(ofLoad));
};

/**
Waits until a daemon has exited, and checks that its exit code is 0, which reports that it aborted no request.
*/
const checkExit = async (fleet: Fleet, instance: string): Promise<readonly Violation[]> => {
	const daemon = fleet.daemons.find(candidate => candidate.instance === instance)!;
	const exit = await Promise.race([daemon.exited, sleep(exitTimeoutMilliseconds, 'no exit code before the time-out', {ref: false})]);
	return exit === 0 ? [] : [{point: ProvePoint.GracefulShutdown, detail: `${instance} exited with ${exit}`}];
};

/**
Stops a daemon that receives requests through the load balancer and runs a job that takes longer than the announcement of the shutdown. The signal is sent twice.
*/
const stopUnderLoad: FaultHistory = async (history, random) => {
	const fleet = await startShutdownFleet();
	try {
		const {instance, signal} = random.pick(fleet.daemons);
		const loads = startBalancedLoad(fleet, history, random);
		await sleep(random.integer(200, 500));
		const longJob = recordSubmission(fleet, history, {
			identifier: 'long-job', service, tasks: ['long-0', 'long-1'], runMilliseconds: announceMilliseconds * 2, instance,
		});
		await sleep(50);
		signal('SIGTERM');
		await sleep(random.integer(50, announceMilliseconds));
		signal('SIGTERM');
		const exits = await checkExit(fleet, instance);
		await sleep(200);
		const violations = [...exits, ...checkComplete([await longJob]), ...await stopLoads(loads)];
		collectStarts(fleet, history);
		return violations;
	} finally {
		await fleet.stop();
	}
};

/**
Stops and restarts every daemon in turn under load.
*/
const replaceAll: FaultHistory = async (history, random) => {
	const fleet = await startShutdownFleet();
	try {
		const loads = startBalancedLoad(fleet, history, random);
		const violations: Violation[] = [];
		for (const {instance, signal} of fleet.daemons) {
			signal('SIGTERM');
			violations.push(...await checkExit(fleet, instance));
			const next = await fleet.restart(instance);
			await next.untilReady(readyTimeoutMilliseconds);
			await sleep(500);
		}

		violations.push(...await stopLoads(loads));
		collectStarts(fleet, history);
		return violations;
	} finally {
		await fleet.stop();
	}
};

const startBorrowing = (fleet: Fleet, history: History, random: Random): CallerLoad => {
	const [borrower] = fleet.daemons as [typeof fleet.daemons[0]];
	return startClosedLoad(fleet, history, {service, instances: [borrower.instance], runMilliseconds: 100}, {callers: slots + 4, maximumPauseMilliseconds: 5, random});
};

/**
Stops a daemon that has more tasks than slots and borrows slots from its peer.
*/
const stopBorrower: FaultHistory = async (history, random) => {
	const fleet = await startShutdownFleet();
	try {
		const load = startBorrowing(fleet, history, random);
		await sleep(700);
		const borrowed = fleet.endpoints.at(1)!.standIn.starts().length;
		const {signal, instance} = fleet.daemons[0]!;
		signal('SIGTERM');
		await sleep(announceMilliseconds / 2);
		const violations = [...await stopLoads([load]), ...await checkExit(fleet, instance)];
		collectStarts(fleet, history);
		return borrowed > 0 ? violations : [...violations, {point: ProvePoint.GracefulShutdown, detail: 'no slot was borrowed before the shutdown; the history proves nothing'}];
	} finally {
		await fleet.stop();
	}
};

/**
Returns the number of slots that a daemon has lent and the number of tasks that wait in its queue.
*/
const slotUseOf = async (fleet: Fleet, position: number): Promise<{readonly lent: number; readonly waiting: number}> => {
	const {services} = await fleet.daemons[position]!.status() as DaemonStatus;
	return {
		lent: services.flatMap(({endpoints}) => endpoints).reduce((total, {lent}) => total + lent, 0),
		waiting: services.reduce((total, {waiting}) => total + waiting, 0),
	};
};

/**
Sends as many requests through a daemon as it owns slots, each longer than the announcement of the shutdown. Some must wait if slots are lent.
*/
const sendLong = (fleet: Fleet, history: History, instance: string): ReadonlyArray<Promise<CallerOperation>> => Array.from({length: slots}, async (_, position) => recordSubmission(fleet, history, {
	identifier: '', service, tasks: [`single-long-${position}`], runMilliseconds: announceMilliseconds * 1.5, instance,
}));

/**
Stops a daemon that has lent slots while its own requests occupy its other slots or wait for returned ones: it must keep its slots until every request is answered, and the borrower must continue to work.
*/
const stopLender: FaultHistory = async (history, random) => {
	const fleet = await startShutdownFleet();
	try {
		await fleet.accept(service, document => ({...document, maximumQueueMilliseconds: queueLimitMilliseconds}));
		await sleep(inForceMilliseconds);
		const load = startBorrowing(fleet, history, random);
		await sleep(700);
		const {signal, instance} = fleet.daemons[1]!;
		const long = sendLong(fleet, history, instance);
		await sleep(random.integer(20, 100));
		const {lent, waiting} = await slotUseOf(fleet, 1);
		signal('SIGTERM');
		const violations = [...checkComplete(await Promise.all(long)), ...await checkExit(fleet, instance)];
		await sleep(inForceMilliseconds);
		violations.push(...await stopLoads([load]));
		collectStarts(fleet, history);
		return lent > 0 && waiting > 0
			? violations
			: [...violations, {point: ProvePoint.GracefulShutdown, detail: `${lent} slots were lent and ${waiting} tasks waited at the shutdown; the history proves nothing`}];
	} finally {
		await fleet.stop();
	}
};

/**
Histories in which daemons are shut down gracefully.
*/
export const shutdownHistories: readonly FaultHistory[] = [stopUnderLoad, replaceAll, stopBorrower, stopLender];
