import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Arrival} from '../request/arrival.js';
import {
	atLeast, atMost, BenchScenario, idealPolicy, type BenchPolicy, type BenchTarget,
} from '../version/bench-line.js';
import {computeIdeal} from '../version/ideal-queue.js';
import {createArrivals, type LoadPhase} from '../version/load-plan.js';
import {
	goodputOverCapacity, recoveryTime, refusalTail, type Stretch,
} from '../version/overload-figures.js';
import {capacityOf, type PlannedLoad} from '../version/planned-load.js';
import {createOrdinaryMix} from '../version/task-mix.js';
import {
	countStarts, daemonShares, smallSize, smallSlots, withBenchFleet,
} from './bench-fleet.js';
import {printLine, type BenchRun} from './bench-run.js';
import {measureIdeal, measureLoad, type MeasuredTask} from './measure-load.js';

const lowLoad = 0.5;
const highLoad = 2.5;
const warmUpMilliseconds = 3000;
const normalMilliseconds = 3000;
const swingMilliseconds = 1000;
const swingSteps = 5;
const afterMilliseconds = 4000;
// A longer wait would leave a backlog that the half of the capacity free after the peak cannot clear within a second.
const idealWaitMilliseconds = 250;
const callerDeadlineMilliseconds = 5000;
const goodputTarget = 0.97;
const refusalTarget = 50;
const recoveryTarget = 1000;

type PeakPlan = PlannedLoad & {readonly before: Stretch; readonly peak: Stretch; readonly after: Stretch};

const planPeak = (run: BenchRun): PeakPlan => {
	const mix = createOrdinaryMix();
	const slotSpeeds = smallSlots();
	const capacity = capacityOf(mix, slotSpeeds);
	const swing = Array.from({length: swingSteps}, (_, step): LoadPhase => ({
		durationMilliseconds: swingMilliseconds / swingSteps,
		tasksPerSecond: capacity * (lowLoad + ((highLoad - lowLoad) * (step + 1) / (swingSteps + 1))),
	}));
	const arrivals: readonly Arrival[] = createArrivals({
		seed: run.seed,
		phases: [
			{durationMilliseconds: warmUpMilliseconds + normalMilliseconds, tasksPerSecond: lowLoad * capacity},
			...swing,
			{durationMilliseconds: run.milliseconds, tasksPerSecond: highLoad * capacity},
			{durationMilliseconds: afterMilliseconds, tasksPerSecond: lowLoad * capacity},
		],
		mix,
		daemonShares,
	});
	const peakFrom = warmUpMilliseconds + normalMilliseconds + swingMilliseconds;
	const peakTo = peakFrom + run.milliseconds;
	return {
		load: highLoad,
		arrivals,
		ideal: computeIdeal(arrivals, slotSpeeds, idealWaitMilliseconds),
		warmUpMilliseconds,
		before: {from: warmUpMilliseconds, to: warmUpMilliseconds + normalMilliseconds},
		peak: {from: peakFrom, to: peakTo},
		after: {from: peakTo, to: peakTo + afterMilliseconds},
	};
};

type PeakResult = {readonly tasks: readonly MeasuredTask[]; readonly messagesPerTask?: number; readonly targets?: readonly BenchTarget[]};

const report = (run: BenchRun, policy: BenchPolicy, plan: PeakPlan, result: PeakResult): void => {
	const {tasks} = result;
	const goodput = goodputOverCapacity(tasks, plan.peak, smallSlots().length);
	const refusalP99Milliseconds = refusalTail(tasks);
	const recoveryMilliseconds = recoveryTime(tasks, plan.before, plan.after);
	printLine(run, BenchScenario.Peak, policy, {
		figures: {
			load: plan.load, tasks: tasks.length, messagesPerTask: result.messagesPerTask ?? Number.NaN, goodputOverCapacity: goodput, refusalP99Milliseconds, recoveryMilliseconds,
		},
		targets: [
			atLeast('goodput at the crest over capacity', goodputTarget, goodput),
			atMost('p99 of refusals, ms', refusalTarget, refusalP99Milliseconds),
			atMost('normal response after the crest, ms', recoveryTarget, recoveryMilliseconds),
			...(result.targets ?? []),
		],
	});
};

const runPolicy = async (run: BenchRun, policy: BenchPolicy, plan: PeakPlan): Promise<void> => {
	if (policy === idealPolicy) {
		const tasks = measureIdeal(plan).map(task => Number.isNaN(task.idealMilliseconds) ? {...task, outcome: Outcome.NotRun, responseMilliseconds: 0} : task);
		report(run, policy, plan, {tasks});
		return;
	}

	await withBenchFleet({policy, mix: createOrdinaryMix(), size: smallSize}, async fleet => {
		const {tasks, messagesPerTask, validity} = await measureLoad(fleet, plan, {deadlineMilliseconds: callerDeadlineMilliseconds});
		const starts = await countStarts(fleet);
		const untruthful = tasks.filter(({outcome, arrival}) => outcome === Outcome.NotRun && starts.has(arrival.name)).length;
		report(run, policy, plan, {tasks, messagesPerTask, targets: [atMost('tasks refused as not run that ran', 0, untruthful), validity]});
	});
};

/**
Raises the load from half the capacity to 2.5 times the capacity within a second, keeps it there for the measured time, and drops it back to half.
*/
export const runPeak = async (run: BenchRun): Promise<void> => {
	const plan = planPeak(run);
	for (const policy of run.policies) {
		await runPolicy(run, policy, plan);
	}
};
