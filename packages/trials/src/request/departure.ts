import {callerPatience, type GrownJob} from './grown-job.js';
import type {Random} from './random.js';

/**
How a caller leaves whose job has no answer.
*/
export enum Departure {
	/** It closes its connection when the wait that it announced is over. */
	OnTime = 'on-time',
	/** It closes its connection before that. */
	Early = 'early',
	/** It leaves when the wait that it announced is over, and the end of its connection reaches the daemon only seconds later. */
	Silent = 'silent',
}

/**
How callers wait and leave.
*/
export type CallerHabits = {
	/** How long the caller of a job waits for an answer, in milliseconds; it announces this to the daemon. */
	readonly waitOf: (job: GrownJob) => number;
	/** Share of the calls with an early departure. */
	readonly earlyShare: number;
	/** Share of the calls with a silent departure. */
	readonly silentShare: number;
};

/**
Habits of callers that leave on time, after the wait of the sites.
*/
export const patientCallers: CallerHabits = {waitOf: callerPatience, earlyShare: 0, silentShare: 0};

/**
A planned call: when and how its caller leaves.
*/
export type PlannedDeparture = {
	readonly departure: Departure;
	/** Announced wait, in milliseconds. */
	readonly waitMilliseconds: number;
	/** Time after which the caller leaves, in milliseconds. */
	readonly leaveMilliseconds: number;
};

const leastWaitShare = 0.1;

const drawDeparture = (random: Random, {earlyShare, silentShare}: CallerHabits): Departure => {
	const drawn = random.fraction();
	if (drawn < silentShare) {
		return Departure.Silent;
	}

	return drawn < silentShare + earlyShare ? Departure.Early : Departure.OnTime;
};

/**
Draws how the caller of a job leaves.

@example
```
const {waitMilliseconds} = planDeparture(createRandom(7), job, {...patientCallers, silentShare: 0.2});
```
*/
export const planDeparture = (random: Random, job: GrownJob, habits: CallerHabits): PlannedDeparture => {
	const departure = drawDeparture(random, habits);
	const waitMilliseconds = habits.waitOf(job);
	const waitShare = departure === Departure.Early ? leastWaitShare + ((1 - leastWaitShare) * random.fraction()) : 1;
	return {departure, waitMilliseconds, leaveMilliseconds: Math.round(waitMilliseconds * waitShare)};
};
