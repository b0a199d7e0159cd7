import {setTimeout as sleep} from 'node:timers/promises';
import type {PlacementPolicy} from 'galenakeeld/process/placement-policy.js';
import {
	atMost, BenchScenario, idealPolicy, type BenchTarget,
} from '../version/bench-line.js';
import {isWithin, type Stretch} from '../version/overload-figures.js';
import {planLoad, type PlannedLoad} from '../version/planned-load.js';
import {createOrdinaryMix} from '../version/task-mix.js';
import {
	beginFault, BenchFault, endFault, faultPositions,
} from './bench-faults.js';
import {
	daemonShares, smallSize, smallSlots, withBenchFleet,
} from './bench-fleet.js';
import {printLine, type BenchRun} from './bench-run.js';
import type {Fleet} from './fleet.js';
import {
	measureLoad, type LoadMeasurement, type MeasuredTask,
} from './measure-load.js';

const load = 0.6;
const warmUpMilliseconds = 4000;
const settleMilliseconds = 2000;
const gapMilliseconds = 2000;
const minimumMeasuredMilliseconds = 2000;
const callerDeadlineMilliseconds = 5000;
const timeoutMilliseconds = 3000;
const okStatus = 200;
const workers = smallSize.zones.length * smallSize.endpointsPerZone;
// Tolerance for measurement noise of faults that take no capacity away.
const noise = 0.01;
const failingShareTarget = 0.01;
const reportLagMilliseconds = 300;

/**
Share of the goodput that each fault may cost: the share of the slots that it makes unusable, or else the noise of the measurement.
*/
const lostCapacity: Readonly<Record<BenchFault, number>> = {
	[BenchFault.FailingWorker]: 1 / workers,
	[BenchFault.FrozenWorker]: 1 / workers,
	[BenchFault.KilledDaemon]: noise,
	[BenchFault.CutZone]: noise,
};

/**
A fault with its period, and the later part of that period, in which goodput is measured after the fleet has had time to react.
*/
type FaultPlan = {readonly fault: BenchFault; readonly stretch: Stretch; readonly measured: Stretch};

const planFaults = (run: BenchRun): readonly FaultPlan[] => {
	const lasting = settleMilliseconds + Math.max(minimumMeasuredMilliseconds, run.milliseconds / Object.values(BenchFault).length);
	return Object.values(BenchFault).map((fault, position) => {
		const from = warmUpMilliseconds + (position * (lasting + gapMilliseconds));
		const to = from + lasting;
		return {fault, stretch: {from, to}, measured: {from: from + settleMilliseconds, to}};
	});
};

const runFaults = async (fleet: Fleet, faults: readonly FaultPlan[], startAt: number): Promise<void> => {
	for (const {fault, stretch} of faults) {
		await sleep(startAt + stretch.from - Date.now());
		beginFault(fleet, fault);
		await sleep(startAt + stretch.to - Date.now());
		await endFault(fleet, fault);
	}
};

const lossOf = (tasks: readonly MeasuredTask[], stretch: Stretch): number => {
	const arrived = tasks.filter(({arrival}) => isWithin(arrival.at, stretch));
	const good = arrived.filter(({status, responseMilliseconds}) => status === okStatus && responseMilliseconds <= callerDeadlineMilliseconds);
	return 1 - (good.length / arrived.length);
};

const failingShare = (fleet: Fleet, {measured}: FaultPlan, startAt: number): number => {
	const counts = fleet.endpoints.map(({standIn}) => standIn.starts().filter(start => isWithin(start.startedAt - startAt, measured)).length);
	return counts[faultPositions.failingWorker]! / Math.max(1, counts.reduce((sum, count) => sum + count, 0));
};

const targetsOf = (fleet: Fleet, faults: readonly FaultPlan[], {tasks, startAt, validity}: LoadMeasurement): readonly BenchTarget[] => [
	...faults.map(({fault, measured}) => atMost(`loss of goodput 2 s after the ${fault}`, lostCapacity[fault], lossOf(tasks, measured))),
	atMost('share of starts at the failing worker', failingShareTarget, failingShare(fleet, faults[0]!, startAt)),
	validity,
];

const runPolicy = async (run: BenchRun, policy: PlacementPolicy, plan: PlannedLoad, faults: readonly FaultPlan[]): Promise<void> => {
	const change = (document: Record<string, unknown>): Record<string, unknown> => ({...document, timeoutMilliseconds});
	await withBenchFleet({
		policy, mix: createOrdinaryMix(), size: {...smallSize, isProxied: true}, change,
	}, async fleet => {
		const measurement = await measureLoad(fleet, plan, {
			addresses: fleet.daemons.map(() => fleet.balancer.address),
			deadlineMilliseconds: callerDeadlineMilliseconds,
			injectFaults: async startAt => runFaults(fleet, faults, startAt),
		});
		await sleep(reportLagMilliseconds);
		printLine(run, BenchScenario.Faults, policy, {
			figures: {load, tasks: measurement.tasks.length}, targets: targetsOf(fleet, faults, measurement),
		});
	});
};

/**
Injects four faults one after the other, under steady load through the balancer: a failing endpoint, a frozen endpoint, a killed daemon, and an availability zone cut off by a network partition.

The ideal policy is skipped, since its calculation does not model faults.
*/
export const runFaultsScenario = async (run: BenchRun): Promise<void> => {
	const faults = planFaults(run);
	const plan = planLoad({
		seed: run.seed, load, mix: createOrdinaryMix(), slotSpeeds: smallSlots(), daemonShares, warmUpMilliseconds, measuredMilliseconds: faults.at(-1)!.stretch.to - warmUpMilliseconds,
	});
	for (const policy of run.policies.filter(candidate => candidate !== idealPolicy)) {
		await runPolicy(run, policy, plan, faults);
	}
};
