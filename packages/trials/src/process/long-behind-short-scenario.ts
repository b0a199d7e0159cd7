import {
	atMost, BenchScenario, idealPolicy, type BenchPolicy,
} from '../version/bench-line.js';
import {planLoad, type PlannedLoad} from '../version/planned-load.js';
import {chargedResponse, compareResponses, tailOverAlone} from '../version/response-figures.js';
import {createMixWithLong, createShortMix} from '../version/task-mix.js';
import {
	daemonShares, smallSize, smallSlots, withBenchFleet,
} from './bench-fleet.js';
import {printLine, type BenchRun} from './bench-run.js';
import {
	measureIdeal, measureLoad, type LoadMeasurement, type MeasuredTask,
} from './measure-load.js';

const load = 0.9;
const longShare = 0.05;
// The number of long tasks in progress must reach its steady state before the measurement.
const warmUpMilliseconds = 9000;
const shortTarget = 1.2;
const longTarget = 3;

type Plans = {readonly alone: PlannedLoad; readonly mixed: PlannedLoad};

const report = (run: BenchRun, policy: BenchPolicy, alone: readonly MeasuredTask[], mixed: Pick<LoadMeasurement, 'tasks'> & Partial<LoadMeasurement>): void => {
	const long = mixed.tasks.filter(({arrival}) => arrival.isLong);
	const shortP99OverAlone = tailOverAlone(mixed.tasks.filter(({arrival}) => !arrival.isLong), alone, chargedResponse);
	const {p99OverIdeal: longP99OverIdeal} = compareResponses(long, 1);
	printLine(run, BenchScenario.LongBehindShort, policy, {
		figures: {
			load, tasks: mixed.tasks.length, ...compareResponses(mixed.tasks, 1), messagesPerTask: mixed.messagesPerTask ?? Number.NaN, shortP99OverAlone, longP99OverIdeal,
		},
		targets: [
			atMost('p99 of short tasks over alone', shortTarget, shortP99OverAlone),
			atMost('p99 of long tasks over ideal', longTarget, longP99OverIdeal),
			...(mixed.validity ? [mixed.validity] : []),
		],
	});
};

const runPolicy = async (run: BenchRun, policy: BenchPolicy, {alone, mixed}: Plans): Promise<void> => {
	if (policy === idealPolicy) {
		report(run, policy, measureIdeal(alone), {tasks: measureIdeal(mixed)});
		return;
	}

	await withBenchFleet({policy, mix: createShortMix(), size: smallSize}, async fleet => {
		const reference = await measureLoad(fleet, alone);
		report(run, policy, reference.tasks, await measureLoad(fleet, mixed));
	});
};

/**
Runs short tasks alone, then, at the same load, a mix in which a few tasks run 10 to 100 times longer than declared, and compares the response of the short ones.
*/
export const runLongBehindShort = async (run: BenchRun): Promise<void> => {
	const common = {
		seed: run.seed, load, slotSpeeds: smallSlots(), daemonShares, measuredMilliseconds: run.milliseconds,
	};
	const plans: Plans = {
		alone: planLoad({...common, mix: createShortMix(), warmUpMilliseconds: warmUpMilliseconds / 3}),
		mixed: planLoad({...common, mix: createMixWithLong(longShare), warmUpMilliseconds}),
	};
	for (const policy of run.policies) {
		await runPolicy(run, policy, plans);
	}
};
