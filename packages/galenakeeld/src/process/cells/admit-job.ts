/**
Decides at the door whether a job waits here, goes to another cell, or is refused.
*/
import type {FreeCapacity} from '@galenakeel/model/connection/fleet-message.js';
import {predictEnds, type Lane, type PredictedJob} from './predict-ends.js';

/**
Another cell as its owner last described it.
*/
export type CellRoom = {
	readonly cell: string;
	/** Room that is free. */
	readonly free: readonly FreeCapacity[];
	/** Time until work that arrives now starts, in milliseconds. */
	readonly waitMilliseconds: number;
};

/**
A job as the decision sees it. Times are milliseconds from now.
*/
export type WeighedJob = PredictedJob & {
	readonly dueIn: number;
	readonly worthlessIn: number;
	/** From the arrival at the first daemon to the due time. */
	readonly objectiveMilliseconds: number;
	/** What an answer in time is worth: work of the whole job, in thousandths of a core times milliseconds, by the urgency of its queue. */
	readonly worth: number;
	/** Position in the order of waiting jobs; lower goes first. */
	readonly rank: number;
};

/**
A job that arrives.
*/
export type ArrivingJob = WeighedJob & {
	/** Thousandths of a core that its first tasks need at once. */
	readonly processor: number;
	/** Thousandths of a core that are free in the cell. */
	readonly freeProcessor: number;
	readonly isRedirected: boolean;
};

export enum Admission {
	/** The job waits, or starts at once. */
	Take = 'take',
	/** Another cell ends it sooner. */
	Redirect = 'redirect',
	/** Serving it would cost the jobs that wait more than it is worth. */
	Refuse = 'refuse',
}

export type AdmissionDecision
	= | {readonly admission: Admission.Take; readonly endsIn: number}
		| {readonly admission: Admission.Refuse; readonly endsIn: number}
		| {readonly admission: Admission.Redirect; readonly endsIn: number; readonly cell: string};

/** Time that a job loses on its way to another cell: a redirect, a hand-over, and ends that come back later. */
const redirectMilliseconds = 8;
/** Worth of a late answer beside one in time. */
const lateWorth = 0.2;
/** Spread of the real objective about the expected one, as a share of it, since estimates are rough. */
const objectiveSpread = 0.15;
/** Share of its worth that a job must gain by another cell. */
const leastRedirectGain = 0.04;
/** Shares of its own worth that a job must add to be taken. */
const leastGain = 0;

/**
Returns what an answer is expected to be worth, as a share of the job's worth: certain when early, fading about the due time, and nothing once it is worthless.
*/
export const expectedWorth = ({dueIn, worthlessIn, objectiveMilliseconds}: Pick<WeighedJob, 'dueIn' | 'worthlessIn' | 'objectiveMilliseconds'>, endsIn: number): number => {
	if (endsIn > worthlessIn) {
		return 0;
	}

	const inTime = 1 / (1 + Math.exp((endsIn - dueIn) / (objectiveSpread * Math.max(1, objectiveMilliseconds))));
	return lateWorth + ((1 - lateWorth) * inTime);
};

const worthOf = (jobs: readonly WeighedJob[], ends: ReadonlyMap<string, number>): number =>
	jobs.reduce((sum, job) => sum + (job.worth * expectedWorth(job, ends.get(job.identifier) ?? Number.POSITIVE_INFINITY)), 0);

/**
Returns the thousandths of a core that are free in a cell.
*/
export const freeProcessorIn = ({free}: Pick<CellRoom, 'free'>): number => {
	let sum = 0;
	for (const {processor} of free) {
		sum += processor;
	}

	return sum;
};

const startsSooner = (first: CellRoom, second: CellRoom): number =>
	first.waitMilliseconds - second.waitMilliseconds || freeProcessorIn(second) - freeProcessorIn(first);

const idleLanes = (lanes: readonly Lane[]): readonly Lane[] => lanes.map(({factor}) => ({freeInMilliseconds: 0, factor}));

/** Another cell is taken to have like endpoints, so the job ends there as it would end here without others, and waits. */
const findBetterCell = (job: ArrivingJob, endsIn: number, lanes: readonly Lane[], others: readonly CellRoom[]): CellRoom | undefined => {
	const withRoom = others.filter(other => freeProcessorIn(other) >= job.processor && other.waitMilliseconds <= 0);
	const best = (withRoom.length > 0 ? withRoom : others).toSorted(startsSooner)[0];
	if (!best) {
		return undefined;
	}

	const alone = predictEnds(idleLanes(lanes), [job]).get(job.identifier)!;
	const endsThere = lanes.length === 0 ? best.waitMilliseconds : alone + best.waitMilliseconds + redirectMilliseconds;
	return expectedWorth(job, endsThere) > expectedWorth(job, endsIn) + leastRedirectGain ? best : undefined;
};

/**
Decides about a job that arrives: what it adds, less what the jobs that wait lose by it.

Load that it answers: zones whose crests come at different times, and a crest that is above the capacity of all.

@param waiting Jobs that wait, in the order in which they get room.

@example
```
admitJob(job, waiting, lanes, others).admission;
```
*/
export const admitJob = (job: ArrivingJob, waiting: readonly WeighedJob[], lanes: readonly Lane[], others: readonly CellRoom[]): AdmissionDecision => {
	const place = waiting.findIndex(({rank}) => rank > job.rank);
	const order = waiting.toSpliced(place === -1 ? waiting.length : place, 0, job);
	const ends = predictEnds(lanes, order);
	const endsIn = ends.get(job.identifier)!;
	const better = job.isRedirected ? undefined : findBetterCell(job, endsIn, lanes, others);
	if (better) {
		return {admission: Admission.Redirect, endsIn, cell: better.cell};
	}

	if (job.freeProcessor >= job.processor && endsIn <= job.worthlessIn) {
		return {admission: Admission.Take, endsIn};
	}

	const open = job.isRedirected ? undefined : others.find(other => freeProcessorIn(other) >= job.processor);
	const gain = worthOf(order, ends) - worthOf(waiting, predictEnds(lanes, waiting));
	if (gain > leastGain * job.worth) {
		return {admission: Admission.Take, endsIn};
	}

	// Room that only serves it late is still room.
	return open ? {admission: Admission.Redirect, endsIn, cell: open.cell} : {admission: Admission.Refuse, endsIn};
};
