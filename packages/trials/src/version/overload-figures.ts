import {Outcome} from '@galenakeel/model/request/outcome.js';
import {percentile} from './percentile.js';

type AnsweredTask = {
	readonly outcome: Outcome;
	readonly responseMilliseconds: number;
	readonly arrival: {readonly at: number; readonly runMilliseconds: number};
};

/**
A stretch of a run, in milliseconds since its start.
*/
export type Stretch = {readonly from: number; readonly to: number};

/**
Tells whether a time lies in a stretch.
*/
export const isWithin = (at: number, {from, to}: Stretch): boolean => at >= from && at < to;

/**
Computes the work of the tasks that were answered within a stretch, over the work that the slots could have done.

@param speedSum Sum of the speeds of all slots.

@example
```
goodputOverCapacity(tasks, {from: 4000, to: 14_000}, 96);
```
*/
export const goodputOverCapacity = (tasks: readonly AnsweredTask[], stretch: Stretch, speedSum: number): number => {
	let work = 0;
	for (const {outcome, arrival, responseMilliseconds} of tasks) {
		if (outcome === Outcome.Complete && isWithin(arrival.at + responseMilliseconds, stretch)) {
			work += arrival.runMilliseconds;
		}
	}

	return work / (speedSum * (stretch.to - stretch.from));
};

/**
Returns the 99th percentile of the time that refusals took; NaN when there were none.
*/
export const refusalTail = (tasks: readonly AnsweredTask[]): number =>
	percentile(tasks.filter(({outcome}) => outcome === Outcome.NotRun).map(({responseMilliseconds}) => responseMilliseconds), 0.99);

const bucketMilliseconds = 200;
const normalShare = 0.9;
const allowance = 1.3;

const overRunTime = ({responseMilliseconds, arrival}: AnsweredTask): number => responseMilliseconds / arrival.runMilliseconds;

/**
Finds how long after a crest the responses are normal again: from then on, in each 200 ms of arrivals at least nine tenths of the tasks are answered whole, in at most 1.3 times the 99th percentile (over the run time) from before the crest.

@param before A stretch of normal load.
@param after The stretch that begins with the end of the crest.
@returns Milliseconds from the end of the crest.
*/
export const recoveryTime = (tasks: readonly AnsweredTask[], before: Stretch, after: Stretch): number => {
	const reference = tasks.filter(({arrival}) => isWithin(arrival.at, before)).map(task => overRunTime(task));
	const limit = percentile(reference, 0.99) * allowance;
	let recoveredAt = after.from;
	for (let {from} = after; from < after.to; from += bucketMilliseconds) {
		const bucket = tasks.filter(({arrival}) => isWithin(arrival.at, {from, to: from + bucketMilliseconds}));
		const normal = bucket.filter(task => task.outcome === Outcome.Complete && overRunTime(task) <= limit);
		if (normal.length < bucket.length * normalShare) {
			recoveredAt = from + bucketMilliseconds;
		}
	}

	return recoveredAt - after.from;
};
