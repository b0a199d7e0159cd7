import process from 'node:process';
import {parseArgs} from 'node:util';
import {PlacementPolicy} from 'galenakeeld/process/placement-policy.js';
import {BenchScenario, idealPolicy, type BenchPolicy} from '../version/bench-line.js';
import type {BenchRun} from './bench-run.js';
import {runPeak} from './peak-scenario.js';
import {runFaultsScenario} from './faults-scenario.js';
import {runLongBehindShort} from './long-behind-short-scenario.js';
import {runRelay} from './relay-scenario.js';
import {runSpeeds} from './speeds-scenario.js';
import {runSteady} from './steady-scenario.js';
import {runUnfair} from './unfair-scenario.js';

const scenarios: Readonly<Record<BenchScenario, (run: BenchRun) => Promise<void>>> = {
	[BenchScenario.Relay]: runRelay,
	[BenchScenario.Steady]: runSteady,
	[BenchScenario.Speeds]: runSpeeds,
	[BenchScenario.LongBehindShort]: runLongBehindShort,
	[BenchScenario.Peak]: runPeak,
	[BenchScenario.Faults]: runFaultsScenario,
	[BenchScenario.Unfair]: runUnfair,
};
const policies: readonly BenchPolicy[] = [...Object.values(PlacementPolicy), idealPolicy];
const defaultSeconds = '10';
const defaultSeed = '1';

/**
Selects the values that a command-line option names: one value, or all when the option is absent.

@throws An `Error` when the option names an unknown value.
*/
const select = <Value extends string>(option: string, wanted: string | undefined, all: readonly Value[]): readonly Value[] => {
	const selected = wanted === undefined ? all : all.filter(value => value === wanted);
	if (selected.length === 0) {
		throw new Error(`--${option} ${wanted} is unknown; expected one of: ${all.join(', ')}`);
	}

	return selected;
};

const readNumber = (option: string, text: string): number => {
	const value = Number(text);
	if (!(value > 0)) {
		throw new Error(`--${option} ${text} is not a positive number`);
	}

	return value;
};

const {values} = parseArgs({
	options: {
		scenario: {type: 'string'}, policy: {type: 'string'}, seconds: {type: 'string', default: defaultSeconds}, seed: {type: 'string', default: defaultSeed},
	},
});
const run: BenchRun = {
	seed: readNumber('seed', values.seed),
	policies: select('policy', values.policy, policies),
	milliseconds: readNumber('seconds', values.seconds) * 1000,
	print(line) {
		process.stdout.write(`${JSON.stringify(line)}\n`);
	},
};
for (const scenario of select('scenario', values.scenario, Object.keys(scenarios) as BenchScenario[])) {
	await scenarios[scenario](run);
}
