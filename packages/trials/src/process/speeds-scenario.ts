import {
	atMost, BenchScenario, idealPolicy, type BenchPolicy,
} from '../version/bench-line.js';
import {planLoad, type PlannedLoad} from '../version/planned-load.js';
import {compareResponses} from '../version/response-figures.js';
import {createOrdinaryMix} from '../version/task-mix.js';
import {
	benchEndpoints, benchSize, daemonShares, withBenchFleet,
} from './bench-fleet.js';
import {printLine, type BenchRun} from './bench-run.js';
import {
	measureIdeal, measureLoad, type LoadMeasurement,
} from './measure-load.js';

const load = 0.7;
// During the warm-up the daemons learn the speeds, which no document declares.
const warmUpMilliseconds = 6000;
const tailTarget = 1.3;
const speeds = [1, 1.5, 2, 3, 4];

// Spreads the speeds so that each availability zone has endpoints of every speed.
const speedOf = (endpoint: number): number => speeds[Math.floor(endpoint / benchSize.zones.length) % speeds.length]!;

const report = (run: BenchRun, policy: BenchPolicy, measurement: Pick<LoadMeasurement, 'tasks'> & Partial<LoadMeasurement>): void => {
	const figures = compareResponses(measurement.tasks, Math.max(...speeds));
	printLine(run, BenchScenario.Speeds, policy, {
		figures: {
			load, tasks: measurement.tasks.length, ...figures, messagesPerTask: measurement.messagesPerTask ?? Number.NaN,
		},
		targets: [
			atMost('p99 over ideal', tailTarget, figures.p99OverIdeal),
			...(measurement.validity ? [measurement.validity] : []),
		],
	});
};

const runPolicy = async (run: BenchRun, policy: BenchPolicy, plan: PlannedLoad): Promise<void> => {
	if (policy === idealPolicy) {
		report(run, policy, {tasks: measureIdeal(plan)});
		return;
	}

	await withBenchFleet({policy, mix: createOrdinaryMix(), speedOf}, async fleet => {
		report(run, policy, await measureLoad(fleet, plan));
	});
};

/**
Runs tasks on endpoints whose speeds differ by a factor of up to four.
*/
export const runSpeeds = async (run: BenchRun): Promise<void> => {
	const slotSpeeds = Array.from({length: benchEndpoints * benchSize.slots}, (_, slot) => speedOf(Math.floor(slot / benchSize.slots)));
	const plan = planLoad({
		seed: run.seed, load, mix: createOrdinaryMix(), slotSpeeds, daemonShares, warmUpMilliseconds, measuredMilliseconds: run.milliseconds,
	});
	for (const policy of run.policies) {
		await runPolicy(run, policy, plan);
	}
};
