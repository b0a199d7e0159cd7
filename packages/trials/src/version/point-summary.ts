import {ProveStatus, type ProvePoint} from './prove-point.js';

/**
What the histories of one point showed together.
*/
export type PointSummary = {
	readonly point: ProvePoint;
	readonly status: ProveStatus;
	readonly histories: number;
	readonly operations: number;
	readonly violations: number;
	readonly seed: number;
};

const statusOf = (operations: number, violations: number): ProveStatus => {
	if (violations > 0) {
		return ProveStatus.Failed;
	}

	return operations > 0 ? ProveStatus.Proved : ProveStatus.Unproved;
};

/**
Adds up the histories of a point. Each must have recorded operations for the point to be proved.

@example
```
summarizePoint(ProvePoint.StartsOnce, 1, [{operations: 40, violations: []}]).status; // => 'proved'
```
*/
export const summarizePoint = (point: ProvePoint, seed: number, runs: ReadonlyArray<{readonly operations: number; readonly violations: readonly unknown[]}>): PointSummary => {
	const operations = runs.reduce((total, run) => total + run.operations, 0);
	const violations = runs.reduce((total, run) => total + run.violations.length, 0);
	const leastOperations = Math.min(...runs.map(run => run.operations));
	return {
		point, status: statusOf(runs.length === 0 ? 0 : leastOperations, violations), histories: runs.length, operations, violations, seed,
	};
};
