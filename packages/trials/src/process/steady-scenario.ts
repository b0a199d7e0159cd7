import {
	atMost, BenchScenario, idealPolicy, type BenchFigures, type BenchPolicy, type BenchTarget,
} from '../version/bench-line.js';
import {planLoad, type PlannedLoad} from '../version/planned-load.js';
import {compareResponses} from '../version/response-figures.js';
import {createOrdinaryMix} from '../version/task-mix.js';
import {
	benchEndpoints, benchSize, daemonShares, withBenchFleet,
} from './bench-fleet.js';
import {printLine, type BenchRun} from './bench-run.js';
import {measureIdeal, measureLoad, type MeasuredTask} from './measure-load.js';

const loads = [0.7, 0.9];
const warmUpMilliseconds = 3000;
const medianTarget = 1.05;
const tailTarget = 1.3;
const messagesTarget = 0.05;

const figuresOf = (tasks: readonly MeasuredTask[], load: number): Partial<BenchFigures> => ({load, tasks: tasks.length, ...compareResponses(tasks, 1)});

const targetsOf = (figures: Partial<BenchFigures>): readonly BenchTarget[] => [
	atMost('p50 over ideal', medianTarget, figures.p50OverIdeal!),
	atMost('p99 over ideal', tailTarget, figures.p99OverIdeal!),
	...(figures.messagesPerTask === undefined ? [] : [atMost('messages per task', messagesTarget, figures.messagesPerTask)]),
];

const runPolicy = async (run: BenchRun, policy: BenchPolicy, plans: readonly PlannedLoad[]): Promise<void> => {
	if (policy === idealPolicy) {
		for (const plan of plans) {
			const figures = figuresOf(measureIdeal(plan), plan.load);
			printLine(run, BenchScenario.Steady, policy, {figures, targets: targetsOf(figures)});
		}

		return;
	}

	await withBenchFleet({policy, mix: createOrdinaryMix()}, async fleet => {
		for (const plan of plans) {
			const {tasks, messagesPerTask, validity} = await measureLoad(fleet, plan);
			const figures = {...figuresOf(tasks, plan.load), messagesPerTask};
			printLine(run, BenchScenario.Steady, policy, {figures, targets: [...targetsOf(figures), validity]});
		}
	});
};

/**
Runs tasks of 50 ms to 1 s at 70% and at 90% load on endpoints of equal speed.
*/
export const runSteady = async (run: BenchRun): Promise<void> => {
	const slotSpeeds = Array.from({length: benchEndpoints * benchSize.slots}, () => 1);
	const plans = loads.map(load => planLoad({
		seed: run.seed, load, mix: createOrdinaryMix(), slotSpeeds, daemonShares, warmUpMilliseconds, measuredMilliseconds: run.milliseconds,
	}));
	for (const policy of run.policies) {
		await runPolicy(run, policy, plans);
	}
};
