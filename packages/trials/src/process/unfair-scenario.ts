import type {Arrival} from '../request/arrival.js';
import {
	atMost, BenchScenario, idealPolicy, type BenchPolicy, type BenchTarget,
} from '../version/bench-line.js';
import {computeIdeal} from '../version/ideal-queue.js';
import {createArrivals} from '../version/load-plan.js';
import {capacityOf, type PlannedLoad} from '../version/planned-load.js';
import {chargedResponse, tailOverAlone} from '../version/response-figures.js';
import {createOrdinaryMix} from '../version/task-mix.js';
import {
	daemonShares, smallSize, smallSlots, withBenchFleet,
} from './bench-fleet.js';
import {printLine, type BenchRun} from './bench-run.js';
import {measureIdeal, measureLoad, type MeasuredTask} from './measure-load.js';

const otherTeams = ['payroll', 'depots', 'farmers', 'surveyors'];
const greedyTeam = 'reruns';
const teams = [...otherTeams, greedyTeam];
const quota = 1 / teams.length;
// Load of the other teams together. Each of them stays below its quota.
const othersLoad = 0.6;
const greedyLoad = 10 * quota;
const warmUpMilliseconds = 3000;
const othersTarget = 1.1;

type Plans = {readonly alone: PlannedLoad; readonly together: PlannedLoad};

const planTeams = (run: BenchRun): Plans => {
	const slotSpeeds = smallSlots();
	const draw = (seed: number, load: number, drawn: readonly string[]): readonly Arrival[] => {
		const mix = createOrdinaryMix(drawn);
		return createArrivals({
			seed, phases: [{durationMilliseconds: warmUpMilliseconds + run.milliseconds, tasksPerSecond: load * capacityOf(mix, slotSpeeds)}], mix, daemonShares,
		});
	};

	const others = draw(run.seed, othersLoad, otherTeams);
	const together = [...others, ...draw(run.seed + 1, greedyLoad, [greedyTeam])].toSorted((first, second) => first.at - second.at);
	const plan = (load: number, arrivals: readonly Arrival[]): PlannedLoad => ({
		load, arrivals, ideal: computeIdeal(arrivals, slotSpeeds), warmUpMilliseconds,
	});
	return {alone: plan(othersLoad, others), together: plan(othersLoad + greedyLoad, together)};
};

const ofOthers = (tasks: readonly MeasuredTask[]): readonly MeasuredTask[] => tasks.filter(({arrival}) => arrival.team !== greedyTeam);

type TeamResults = {readonly load: number; readonly alone: readonly MeasuredTask[]; readonly together: readonly MeasuredTask[]};

const report = (run: BenchRun, policy: BenchPolicy, results: TeamResults, targets: readonly BenchTarget[] = []): void => {
	const othersP99OverAlone = tailOverAlone(ofOthers(results.together), ofOthers(results.alone), task => chargedResponse(task) / task.arrival.runMilliseconds);
	printLine(run, BenchScenario.Unfair, policy, {
		figures: {load: results.load, tasks: results.together.length, othersP99OverAlone},
		targets: [atMost('p99 of the other teams over alone', othersTarget, othersP99OverAlone), ...targets],
	});
};

const runPolicy = async (run: BenchRun, policy: BenchPolicy, {alone, together}: Plans): Promise<void> => {
	const {load} = together;
	if (policy === idealPolicy) {
		report(run, policy, {load, alone: measureIdeal(alone), together: measureIdeal(together)});
		return;
	}

	const change = (document: Record<string, unknown>): Record<string, unknown> => ({...document, quotas: Object.fromEntries(teams.map(team => [team, {share: quota}]))});
	await withBenchFleet({
		policy, mix: createOrdinaryMix(), size: smallSize, change,
	}, async fleet => {
		const reference = await measureLoad(fleet, alone);
		const {tasks, validity} = await measureLoad(fleet, together);
		report(run, policy, {load, alone: reference.tasks, together: tasks}, [validity]);
	});
};

/**
Has one team of five send ten times its quota while the others stay below theirs, and compares the response times of the others with those measured without that team.
*/
export const runUnfair = async (run: BenchRun): Promise<void> => {
	const plans = planTeams(run);
	for (const policy of run.policies) {
		await runPolicy(run, policy, plans);
	}
};
