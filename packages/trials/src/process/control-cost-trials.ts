import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {submitAsCaller} from '../request/caller.js';
import {startTestBed, type TestBedSize, type TestBed} from './test-bed.js';
import {measureCost, readCounters} from './daemon-cost.js';
import {fitLine, type Line} from './least-squares.js';

const settleMilliseconds = 3000;
const measuredSeconds = 6;
const changePauseMilliseconds = 1000;
const changes = 6;
const jobRounds = 12;
const service = 'service-1';

const smallest: TestBedSize = {
	peers: 0, endpoints: 30, documents: 1, teams: 1, runningEndpoints: 0, heartbeatLoadFactor: 0.25,
};

/**
The parameter that a trial of control cost varies.
*/
export enum CostDimension {
	/** Entry instances that exchange heartbeats. */
	Peers = 'peers',
	/** Endpoints in the platform's list and in one document. */
	Endpoints = 'endpoints',
	/** Documents in force, with eight peers that receive load hints for them. */
	Documents = 'documents',
	/** Teams with a quota in one document. */
	Teams = 'teams',
	/** Jobs of ten tasks each that wait for a slot. */
	JobsInFlight = 'jobs-in-flight',
	/** Documents in force while one of them changes each second. Costs are per change. */
	DocumentChanges = 'document-changes',
	/** Tasks in a job whose identifier the caller chose. Costs are per job. */
	TasksInJob = 'tasks-in-job',
	/** Load factor of the heartbeat interval, 0 for a fixed interval, with 96 peers while jobs run. */
	HeartbeatLoadFactor = 'heartbeat-load-factor',
}

/**
Quantities measured at one size.
*/
export type CostPoint = {readonly size: number; readonly quantities: Readonly<Record<string, number>>};

/**
The points of a trial, and the line fitted through each quantity.
*/
export type CostTrial = {readonly dimension: CostDimension; readonly points: readonly CostPoint[]; readonly lines: Readonly<Record<string, Line>>};

type MeasurePoint = (size: number) => Promise<Readonly<Record<string, number>>>;

const withTestBed = async <Result>(size: Partial<TestBedSize>, use: (bed: TestBed) => Promise<Result>): Promise<Result> => {
	const bed = await startTestBed({...smallest, ...size});
	try {
		return await use(bed);
	} finally {
		await bed.stop();
	}
};

const measureIdle = (sizeOf: (size: number) => Partial<TestBedSize>): MeasurePoint => async size => withTestBed(sizeOf(size), async ({daemon}) => {
	await sleep(settleMilliseconds);
	return measureCost(daemon, measuredSeconds);
});

const jobBody = (tasks: number, run: number): string => JSON.stringify({
	service, deadlineMilliseconds: 120_000, tasks: Array.from({length: tasks}, (_, position) => ({path: `/sheet?task=${position}&run=${run}`, body: 'butterfat 4.1'})),
});

const measureJobsInFlight: MeasurePoint = async size => withTestBed({runningEndpoints: 1}, async ({daemon}) => {
	const agent = new Agent({keepAlive: true, maxSockets: Infinity});
	const body = jobBody(10, 60_000);
	const jobs = Array.from({length: size}, async (_, position) => submitAsCaller(daemon.callers, 'PUT', `/v1/jobs/held-${position}`, {body, agent, timeoutMilliseconds: 60_000}));
	void Promise.allSettled(jobs);
	await sleep(settleMilliseconds);
	const cost = await measureCost(daemon, measuredSeconds);
	agent.destroy();
	return cost;
});

const measureChange: MeasurePoint = async size => withTestBed({documents: size}, async ({daemon, platform, accept, untilInForce}) => {
	await sleep(settleMilliseconds);
	const idle = await measureCost(daemon, measuredSeconds);
	const before = await readCounters(daemon);
	const readsBefore = platform.counts.reads;
	let waited = 0;
	for (let change = 0; change < changes; change++) {
		const version = await accept(service);
		const acceptedAt = performance.now();
		await untilInForce(version);
		waited += performance.now() - acceptedAt;
		await sleep(changePauseMilliseconds);
	}

	const after = await readCounters(daemon);
	const seconds = (after.at - before.at) / 1000;
	return {
		processorMilliseconds: (after.processorSeconds - before.processorSeconds - (idle.processorShare * seconds)) * 1000 / changes,
		receivedBytes: (after.readBytes - before.readBytes - (idle.receivedBytes * seconds)) / changes,
		inForceMilliseconds: waited / changes,
		platformReadsPerSecond: (platform.counts.reads - readsBefore) / seconds,
	};
});

const measureJob: MeasurePoint = async size => withTestBed({runningEndpoints: 4}, async ({daemon, platform}) => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const submitRounds = async (name: string): Promise<void> => {
		for (let round = 0; round < jobRounds; round++) {
			const {status, text} = await submitAsCaller(daemon.callers, 'PUT', `/v1/jobs/${name}-${round}`, {body: jobBody(size, 1), agent});
			if (status !== 200) {
				throw new Error(`a job of ${size} tasks was answered with status ${status}: ${text.slice(0, 200)}`);
			}
		}
	};

	await submitRounds('warm-up');
	const before = await readCounters(daemon);
	const transactionsBefore = platform.counts.transactions;
	await submitRounds('measured');
	const after = await readCounters(daemon);
	agent.destroy();
	return {
		processorMilliseconds: (after.processorSeconds - before.processorSeconds) * 1000 / jobRounds,
		milliseconds: (after.at - before.at) / jobRounds,
		platformTransactions: (platform.counts.transactions - transactionsBefore) / jobRounds,
	};
});

const measureHeartbeats: MeasurePoint = async size => withTestBed({
	peers: 96, runningEndpoints: 4, heartbeatLoadFactor: size,
}, async ({daemon, pulse}) => {
	await sleep(settleMilliseconds);
	const idle = await measureCost(daemon, measuredSeconds);
	pulse.reset();
	const until = performance.now() + (measuredSeconds * 1000);
	for (let round = 0; performance.now() < until; round++) {
		await submitAsCaller(daemon.callers, 'PUT', `/v1/jobs/pulse-${round}`, {body: jobBody(400, 1)});
	}

	const [late, falseAlarms] = [pulse.late(), pulse.falseAlarms()];
	daemon.signal('SIGSTOP');
	const detectionMilliseconds = await pulse.untilSilent();
	daemon.signal('SIGCONT');
	return {
		heartbeatBytes: idle.heartbeatBytes, sentBytes: idle.sentBytes, processorShare: idle.processorShare, late, falseAlarms, detectionMilliseconds,
	};
});

type TrialPlan = {readonly dimension: CostDimension; readonly sizes: readonly number[]; readonly measure: MeasurePoint};

/**
All trials of control cost, with the sizes that they measure.
*/
export const costTrials: readonly TrialPlan[] = [
	{dimension: CostDimension.Peers, sizes: [0, 8, 32, 96], measure: measureIdle(peers => ({peers}))},
	{dimension: CostDimension.Endpoints, sizes: [30, 300, 1000, 3200], measure: measureIdle(endpoints => ({endpoints}))},
	{dimension: CostDimension.Documents, sizes: [1, 100, 400], measure: measureIdle(documents => ({documents, peers: 8}))},
	{dimension: CostDimension.Teams, sizes: [1, 100, 400], measure: measureIdle(teams => ({teams}))},
	{dimension: CostDimension.JobsInFlight, sizes: [1, 100, 400], measure: measureJobsInFlight},
	{dimension: CostDimension.DocumentChanges, sizes: [1, 100, 400], measure: measureChange},
	{dimension: CostDimension.TasksInJob, sizes: [1, 100, 400, 1700], measure: measureJob},
	{dimension: CostDimension.HeartbeatLoadFactor, sizes: [0, 0.25, 1], measure: measureHeartbeats},
];

/**
Measures every size of a trial, and fits a line through each quantity.
*/
export const runCostTrial = async ({dimension, sizes, measure}: TrialPlan): Promise<CostTrial> => {
	const points: CostPoint[] = [];
	for (const size of sizes) {
		points.push({size, quantities: await measure(size)});
	}

	const lines = Object.fromEntries(Object.keys(points[0]!.quantities).map(quantity => [
		quantity, fitLine(points.map(({size, quantities}) => ({size, value: quantities[quantity]!}))),
	]));
	return {dimension, points, lines};
};
