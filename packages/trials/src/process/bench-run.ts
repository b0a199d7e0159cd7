import {PlacementPolicy} from 'galenakeeld/process/placement-policy.js';
import {
	createBenchLine, type BenchFigures, type BenchLine, type BenchPolicy, type BenchScenario, type BenchTarget,
} from '../version/bench-line.js';

/**
The default placement policy of the daemon.
*/
export const shippedPolicy = PlacementPolicy.SharesWithBorrowing;

/**
Parameters of a benchmark run, shared by all scenarios.
*/
export type BenchRun = {
	readonly seed: number;
	readonly policies: readonly BenchPolicy[];
	/** Length of the measured part of each load run. */
	readonly milliseconds: number;
	readonly print: (line: BenchLine) => void;
};

/**
Prints one result line of a scenario.
*/
export const printLine = (run: BenchRun, scenario: BenchScenario, policy: BenchPolicy, result: {readonly figures: Partial<BenchFigures>; readonly targets: readonly BenchTarget[]}): void => {
	const head = {
		scenario, policy, chosen: policy === shippedPolicy, seed: run.seed, targets: result.targets,
	};
	run.print(createBenchLine(head, result.figures));
};
