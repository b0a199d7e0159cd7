import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {BenchFigures} from './bench-line.js';
import {percentile, percentileRatio} from './percentile.js';

type ComparedTask = {
	readonly outcome: Outcome;
	readonly responseMilliseconds: number;
	readonly idealMilliseconds: number;
	readonly arrival: {readonly runMilliseconds: number};
};

const unansweredMilliseconds = 60_000;

/**
Returns the response of a task; one without a whole answer counts as a minute, so that refusing work makes no figure better.
*/
export const chargedResponse = ({outcome, responseMilliseconds}: Pick<ComparedTask, 'outcome' | 'responseMilliseconds'>): number =>
	outcome === Outcome.Complete ? responseMilliseconds : unansweredMilliseconds;

const median = 0.5;
const tail = 0.99;

/**
Compares responses with those of the ideal, and with the tasks' run times on the fastest endpoint.

A response is first divided by the task's own run time, so that a short wait of a short task counts as much as a long wait of a long one; then percentiles of what was measured are divided by those of the ideal.

@param fastest Speed of the fastest endpoint.

@example
```
const {p99OverIdeal} = compareResponses(tasks, 4);
```
*/
export const compareResponses = (tasks: readonly ComparedTask[], fastest: number): Pick<BenchFigures, 'p50OverIdeal' | 'p99OverIdeal' | 'p99OverRunTime'> => {
	const overRunTime = tasks.map(task => chargedResponse(task) * fastest / task.arrival.runMilliseconds);
	const ideal = tasks.map(task => task.idealMilliseconds * fastest / task.arrival.runMilliseconds);
	return {
		p50OverIdeal: percentileRatio(overRunTime, ideal, median),
		p99OverIdeal: percentileRatio(overRunTime, ideal, tail),
		p99OverRunTime: percentile(overRunTime, tail),
	};
};

const unansweredShare = (tasks: readonly ComparedTask[]): number => tasks.filter(({outcome}) => outcome !== Outcome.Complete).length / Math.max(1, tasks.length);

/**
Divides the 99th percentile of a measure by the same percentile of the tasks alone.

@returns NaN, by which no target is met, when so many tasks alone had no whole answer that their percentile says nothing.
*/
export const tailOverAlone = (tasks: readonly ComparedTask[], alone: readonly ComparedTask[], measure: (task: ComparedTask) => number): number =>
	unansweredShare(alone) >= 1 - tail ? Number.NaN : percentileRatio(tasks.map(task => measure(task)), alone.map(task => measure(task)), tail);
