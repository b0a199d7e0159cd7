import {PlacementPolicy} from 'galenakeeld/process/placement-policy.js';
import {
	createBenchLine, type BenchFigures, type BenchLine, type BenchPolicy, type BenchScenario, type BenchTarget,
} from '../version/bench-line.js';

/**
The policy that the product ships with.
*/
export const shippedPolicy = PlacementPolicy.SharesWithBorrowing;

/**
What a scenario is run with.
*/
export type BenchRun = {
	readonly seed: number;
	readonly policies: readonly BenchPolicy[];
	/** Measured time of each run of load. */
	readonly milliseconds: number;
	readonly print: (line: BenchLine) => void;
};

/**
Prints one line of a scenario.
*/
export const printLine = (run: BenchRun, scenario: BenchScenario, policy: BenchPolicy, result: {readonly figures: Partial<BenchFigures>; readonly targets: readonly BenchTarget[]}): void => {
	const head = {
		scenario, policy, chosen: policy === shippedPolicy, seed: run.seed, targets: result.targets,
	};
	run.print(createBenchLine(head, result.figures));
};
