import type {BenchFigures} from './bench-line.js';
import {percentile} from './percentile.js';

type ComparedTask = {
	readonly responseMilliseconds: number;
	readonly idealMilliseconds: number;
	readonly arrival: {readonly runMilliseconds: number};
};

const median = 0.5;
const tail = 0.99;

/**
Compares each response with that of the ideal to the same task, and with the task's run time on the fastest endpoint.

@param fastest Speed of the fastest endpoint.

@example
```
const {p99OverIdeal} = compareResponses(tasks, 4);
```
*/
export const compareResponses = (tasks: readonly ComparedTask[], fastest: number): Pick<BenchFigures, 'p50OverIdeal' | 'p99OverIdeal' | 'p99OverRunTime'> => {
	const overIdeal = tasks.map(task => task.responseMilliseconds / task.idealMilliseconds);
	return {
		p50OverIdeal: percentile(overIdeal, median),
		p99OverIdeal: percentile(overIdeal, tail),
		p99OverRunTime: percentile(tasks.map(task => task.responseMilliseconds / (task.arrival.runMilliseconds / fastest)), tail),
	};
};
