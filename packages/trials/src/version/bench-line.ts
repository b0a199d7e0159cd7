import type {PlacementPolicy} from 'galenakeeld/process/placement-policy.js';

/**
The scenarios of the bench.
*/
export enum BenchScenario {
	/** The daemon beside a bare relay. */
	Relay = 'relay',
	/** Tasks from 50 ms to 1 s at 70% and at 90% load. */
	Steady = 'steady',
	/** Endpoints whose speeds differ by up to four times. */
	Speeds = 'speeds',
	/** A few tasks that run many times longer than declared. */
	LongBehindShort = 'long-behind-short',
	/** Demand that swings above the capacity and back. */
	Peak = 'crest',
	/** Failing and frozen endpoints, a killed daemon, a zone that is cut off. */
	Faults = 'faults',
	/** One team that sends far more than its quota. */
	Unfair = 'unfair',
}

/**
The calculated policy that the others are measured against.
*/
export const idealPolicy = 'ideal';

/**
A policy of the daemon, or the calculated one.
*/
export type BenchPolicy = PlacementPolicy | typeof idealPolicy;

/**
A figure with the value that it must not exceed, or must reach.
*/
export type BenchTarget = {
	readonly name: string;
	readonly target: number;
	readonly measured: number;
	readonly met: boolean;
};

/**
The figures of a line; NaN, which JSON writes as `null`, where a scenario has no such figure.
*/
export type BenchFigures = {
	/** Share of the capacity that is asked for. */
	readonly load: number;
	readonly tasks: number;
	/** Median of the responses over the tasks' run times, over the same median of the ideal. */
	readonly p50OverIdeal: number;
	/** 99th percentile of the responses over the tasks' run times, over the same percentile of the ideal. */
	readonly p99OverIdeal: number;
	/** 99th percentile of each response over the task's own run time on the fastest endpoint. */
	readonly p99OverRunTime: number;
	/** Control messages between daemons for each task. */
	readonly messagesPerTask: number;
	readonly goodputOverCapacity: number;
	readonly refusalP99Milliseconds: number;
	readonly recoveryMilliseconds: number;
	readonly shortP99OverAlone: number;
	readonly longP99OverIdeal: number;
	readonly othersP99OverAlone: number;
	readonly addedMedianMilliseconds: number;
	readonly processorOverBareRelay: number;
};

/**
One line of the bench's output.
*/
export type BenchLine = BenchFigures & {
	readonly scenario: BenchScenario;
	readonly policy: BenchPolicy;
	/** Whether the product ships with the policy. */
	readonly chosen: boolean;
	readonly seed: number;
	readonly targets: readonly BenchTarget[];
};

const noFigures: BenchFigures = {
	load: Number.NaN,
	tasks: Number.NaN,
	p50OverIdeal: Number.NaN,
	p99OverIdeal: Number.NaN,
	p99OverRunTime: Number.NaN,
	messagesPerTask: Number.NaN,
	goodputOverCapacity: Number.NaN,
	refusalP99Milliseconds: Number.NaN,
	recoveryMilliseconds: Number.NaN,
	shortP99OverAlone: Number.NaN,
	longP99OverIdeal: Number.NaN,
	othersP99OverAlone: Number.NaN,
	addedMedianMilliseconds: Number.NaN,
	processorOverBareRelay: Number.NaN,
};

const decimals = 4;

const round = (value: number): number => Number(value.toFixed(decimals));

/**
Creates a target that is met by a figure of at most its value.
*/
export const atMost = (name: string, target: number, measured: number): BenchTarget => ({
	name, target, measured: round(measured), met: measured <= target,
});

/**
Creates a target that is met by a figure of at least its value.
*/
export const atLeast = (name: string, target: number, measured: number): BenchTarget => ({
	name, target, measured: round(measured), met: measured >= target,
});

/**
Creates a line; figures that are not named are NaN.

@example
```
const line = createBenchLine({scenario, policy, chosen: true, seed: 1, targets: []}, {p99OverIdeal: 1.21});
```
*/
export const createBenchLine = (head: Omit<BenchLine, keyof BenchFigures>, figures: Partial<BenchFigures>): BenchLine => {
	const {scenario, policy, chosen, seed, targets} = head;
	const rounded = Object.fromEntries(Object.entries(figures).map(([name, value]) => [name, round(value)]));
	return {
		scenario, policy, chosen, seed, ...noFigures, ...rounded, targets,
	};
};
