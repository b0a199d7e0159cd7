/**
Scheduling order of waiting jobs.
*/

/**
Urgency classes of jobs, most urgent first.
*/
export enum UrgencyClass {
	/** Started, and can still meet its objective. */
	StartedInTime = 0,
	/** Not started, and can still meet its objective. */
	InTime = 1,
	/** Started, and will be late. */
	StartedLate = 2,
	/** Not started, and will be late. */
	Late = 3,
}

/**
A job with the data that the scheduling order needs. Times are monotonic milliseconds.
*/
export type TimedJob = {
	readonly dueAt: number;
	/** Critical path of the remaining work on the fastest endpoints. */
	readonly remainingMilliseconds: number;
	/** Lateness up to which the job still counts as in time. */
	readonly toleranceMilliseconds: number;
	readonly hasStarted: boolean;
	/** Priority of the queue; 0 goes first. */
	readonly priority: number;
};

export type Urgency = {
	readonly urgencyClass: UrgencyClass;
	/** Latest start that still meets the objective. */
	readonly latestStart: number;
	/** Sort key within a class: the latest start, delayed by the queue's priority; lowest first. */
	readonly rank: number;
};

/** Delay in the order for each level of priority. */
const priorityMilliseconds = 60;

/**
Returns the urgency of a job.

@example
```
urgencyOf({dueAt: 1000, remainingMilliseconds: 60, toleranceMilliseconds: 0, hasStarted: false, priority: 0}, 900).urgencyClass; // => UrgencyClass.InTime
```
*/
export const urgencyOf = ({dueAt, remainingMilliseconds, toleranceMilliseconds, hasStarted, priority}: TimedJob, now: number): Urgency => {
	const latestStart = dueAt - remainingMilliseconds;
	const isLate = latestStart + toleranceMilliseconds < now;
	const startedClass = isLate ? UrgencyClass.StartedLate : UrgencyClass.StartedInTime;
	const waitingClass = isLate ? UrgencyClass.Late : UrgencyClass.InTime;
	return {urgencyClass: hasStarted ? startedClass : waitingClass, latestStart, rank: latestStart + (priorityMilliseconds * priority)};
};

/**
Compares two urgencies for sorting.
*/
export const compareUrgency = (first: Urgency, second: Urgency): number =>
	first.urgencyClass - second.urgencyClass || first.rank - second.rank;

/**
Tells whether a job of this urgency can still meet its objective.
*/
export const isInTime = ({urgencyClass}: Urgency): boolean =>
	urgencyClass === UrgencyClass.StartedInTime || urgencyClass === UrgencyClass.InTime;
