/**
Decides at the door whether a job waits here, goes to another cell, or is refused.
*/
import type {FreeRoom} from '@galenakeel/model/connection/fleet-message.js';
import {predictEnds, type SimulatedSlot, type PredictedJob} from './predict-ends.js';

/**
Another cell as its owner last described it.
*/
export type CellCapacity = {
	readonly cell: string;
	/** Room that is free. */
	readonly free: readonly FreeRoom[];
	/** Time until work that arrives now starts, in milliseconds. */
	readonly waitMilliseconds: number;
};

/**
A job as the decision sees it. Times are milliseconds from now.
*/
export type ValuedJob = PredictedJob & {
	readonly dueIn: number;
	readonly expiresIn: number;
	/** From the arrival at the first daemon to the due time. */
	readonly objectiveMilliseconds: number;
	/** What an answer in time is worth: work of the whole job, in thousandths of a core times milliseconds, by the urgency of its queue. */
	readonly value: number;
	/** Position in the order of waiting jobs; lower goes first. */
	readonly rank: number;
};

/**
A job that arrives.
*/
export type ArrivingJob = ValuedJob & {
	/** Thousandths of a core that its first tasks need at once. */
	readonly processor: number;
	/** Thousandths of a core that are free in the cell. */
	readonly freeProcessor: number;
	readonly isRedirected: boolean;
};

export enum Admission {
	/** The job waits, or starts at once. */
	Accept = 'take',
	/** Another cell ends it sooner. */
	Redirect = 'redirect',
	/** Serving it would cost the jobs that wait more than it is worth. */
	Refuse = 'refuse',
}

export type AdmissionDecision
	= | {readonly admission: Admission.Accept; readonly endsIn: number}
		| {readonly admission: Admission.Refuse; readonly endsIn: number}
		| {readonly admission: Admission.Redirect; readonly endsIn: number; readonly cell: string};

/** Time that a job loses on its way to another cell: a redirect, a hand-over, and ends that come back later. */
const redirectMilliseconds = 8;
/** Worth of a late answer beside one in time. */
const lateValueShare = 0.2;
/** Spread of the real objective about the expected one, as a share of it, since estimates are rough. */
const objectiveSpread = 0.15;
/** Share of its worth that a job must gain by another cell. */
const minimumRedirectGain = 0.04;
/** Shares of its own worth that a job must add to be taken. */
const minimumGain = 0;

/**
Returns what an answer is expected to be worth, as a share of the job's worth: certain when early, fading about the due time, and nothing once it is worthless.
*/
export const expectedValueShare = ({dueIn, expiresIn, objectiveMilliseconds}: Pick<ValuedJob, 'dueIn' | 'expiresIn' | 'objectiveMilliseconds'>, endsIn: number): number => {
	if (endsIn > expiresIn) {
		return 0;
	}

	const inTime = 1 / (1 + Math.exp((endsIn - dueIn) / (objectiveSpread * Math.max(1, objectiveMilliseconds))));
	return lateValueShare + ((1 - lateValueShare) * inTime);
};

const totalValueOf = (jobs: readonly ValuedJob[], ends: ReadonlyMap<string, number>): number =>
	jobs.reduce((sum, job) => sum + (job.value * expectedValueShare(job, ends.get(job.identifier) ?? Number.POSITIVE_INFINITY)), 0);

/**
Returns the thousandths of a core that are free in a cell.
*/
export const freeProcessorIn = ({free}: Pick<CellCapacity, 'free'>): number => {
	let sum = 0;
	for (const {processor} of free) {
		sum += processor;
	}

	return sum;
};

const startsSooner = (first: CellCapacity, second: CellCapacity): number =>
	first.waitMilliseconds - second.waitMilliseconds || freeProcessorIn(second) - freeProcessorIn(first);

const idleSlots = (slots: readonly SimulatedSlot[]): readonly SimulatedSlot[] => slots.map(({factor}) => ({freeInMilliseconds: 0, factor}));

/** Another cell is taken to have like endpoints, so the job ends there as it would end here without others, and waits. */
const findBetterCell = (job: ArrivingJob, endsIn: number, slots: readonly SimulatedSlot[], others: readonly CellCapacity[]): CellCapacity | undefined => {
	const withRoom = others.filter(other => freeProcessorIn(other) >= job.processor && other.waitMilliseconds <= 0);
	const best = (withRoom.length > 0 ? withRoom : others).toSorted(startsSooner)[0];
	if (!best) {
		return undefined;
	}

	const alone = predictEnds(idleSlots(slots), [job]).get(job.identifier)!;
	const endsThere = slots.length === 0 ? best.waitMilliseconds : alone + best.waitMilliseconds + redirectMilliseconds;
	return expectedValueShare(job, endsThere) > expectedValueShare(job, endsIn) + minimumRedirectGain ? best : undefined;
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
export const admitJob = (job: ArrivingJob, waiting: readonly ValuedJob[], slots: readonly SimulatedSlot[], others: readonly CellCapacity[]): AdmissionDecision => {
	const place = waiting.findIndex(({rank}) => rank > job.rank);
	const order = waiting.toSpliced(place === -1 ? waiting.length : place, 0, job);
	const ends = predictEnds(slots, order);
	const endsIn = ends.get(job.identifier)!;
	const better = job.isRedirected ? undefined : findBetterCell(job, endsIn, slots, others);
	if (better) {
		return {admission: Admission.Redirect, endsIn, cell: better.cell};
	}

	if (job.freeProcessor >= job.processor && endsIn <= job.expiresIn) {
		return {admission: Admission.Accept, endsIn};
	}

	const open = job.isRedirected ? undefined : others.find(other => freeProcessorIn(other) >= job.processor);
	const gain = totalValueOf(order, ends) - totalValueOf(waiting, predictEnds(slots, waiting));
	if (gain > minimumGain * job.value) {
		return {admission: Admission.Accept, endsIn};
	}

	// Room that only serves it late is still room.
	return open ? {admission: Admission.Redirect, endsIn, cell: open.cell} : {admission: Admission.Refuse, endsIn};
};
