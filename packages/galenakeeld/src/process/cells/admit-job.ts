/**
Admission control: decides whether an arriving job is accepted, redirected to another cell, or refused.
*/
import type {FreeCapacity} from '@galenakeel/model/connection/fleet-message.js';
import {
	createSchedule, type SimulatedSchedule, type SimulatedSlot, type PredictedJob,
} from './predict-ends.js';

/**
Capacity of another cell, as last announced by its owner.
*/
export type CellCapacity = {
	readonly cell: string;
	/** Free capacity by service and speed. */
	readonly free: readonly FreeCapacity[];
	/** Time until work that arrives now starts, in milliseconds. */
	readonly waitMilliseconds: number;
};

/**
A job with the data that admission needs. Times are milliseconds from now.
*/
export type ValuedJob = PredictedJob & {
	readonly dueIn: number;
	readonly expiresIn: number;
	/** From the arrival at the first daemon to the due time. */
	readonly objectiveMilliseconds: number;
	/** Value of an answer in time: work of the whole job, in thousandths of a core times milliseconds, weighted by the priority of its queue. */
	readonly value: number;
	/** Sort key of the waiting jobs; lower goes first. */
	readonly rank: number;
};

/**
A job on arrival, before the decision.
*/
export type ArrivingJob = ValuedJob & {
	/** Thousandths of a core that its first tasks need at once. */
	readonly processor: number;
	/** Thousandths of a core that are free in the cell. */
	readonly freeProcessor: number;
	readonly isRedirected: boolean;
};

export enum Admission {
	/** The job is accepted; it waits or starts at once. */
	Accept = 'take',
	/** Another cell is expected to complete it sooner, or has free capacity when this one would refuse it. */
	Redirect = 'redirect',
	/** Serving it would cost the waiting jobs more value than it adds. */
	Refuse = 'refuse',
}

export type AdmissionDecision
	= | {readonly admission: Admission.Accept; readonly endsIn: number}
		| {readonly admission: Admission.Refuse; readonly endsIn: number}
		| {readonly admission: Admission.Redirect; readonly endsIn: number; readonly cell: string};

/** Latency added by a redirect: the redirect message, the new submission, and longer return paths of task results. */
const redirectMilliseconds = 8;
/** Value of a late answer as a share of one in time. */
const lateValueShare = 0.2;
/** Scale of the logistic curve around the due time, as a share of the objective; allows for inaccurate estimates. */
const objectiveSpread = 0.15;
/** Share of its value that a job must gain in another cell to be redirected. */
const minimumRedirectGain = 0.04;
/** Share of its own value by which a job must raise the total to be accepted. */
const minimumGain = 0;

/**
Returns the expected value of an answer as a share of the job's value: close to 1 when early, falling around the due time, and 0 after expiry.
*/
export const expectedValueShare = ({dueIn, expiresIn, objectiveMilliseconds}: Pick<ValuedJob, 'dueIn' | 'expiresIn' | 'objectiveMilliseconds'>, endsIn: number): number => {
	if (endsIn > expiresIn) {
		return 0;
	}

	const inTime = 1 / (1 + Math.exp((endsIn - dueIn) / (objectiveSpread * Math.max(1, objectiveMilliseconds))));
	return lateValueShare + ((1 - lateValueShare) * inTime);
};

/** Value of jobs that are appended to a schedule in this order. */
const valueOfAppended = (schedule: SimulatedSchedule, jobs: readonly ValuedJob[]): number => {
	let value = 0;
	for (const job of jobs) {
		value += job.value * expectedValueShare(job, schedule.append(job));
	}

	return value;
};

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

const byWaitThenCapacity = (first: CellCapacity, second: CellCapacity): number =>
	first.waitMilliseconds - second.waitMilliseconds || freeProcessorIn(second) - freeProcessorIn(first);

const idleSlots = (slots: readonly SimulatedSlot[]): readonly SimulatedSlot[] => slots.map(({factor}) => ({freeInMilliseconds: 0, factor}));

/** Assumes that other cells have similar endpoints: the end there is the end here on idle slots, plus the wait there and the redirect. */
const findBetterCell = (job: ArrivingJob, endsIn: number, slots: readonly SimulatedSlot[], others: readonly CellCapacity[]): CellCapacity | undefined => {
	const minimumShare = expectedValueShare(job, endsIn) + minimumRedirectGain;
	if (minimumShare >= 1) {
		return undefined;
	}

	const withCapacity = others.filter(other => freeProcessorIn(other) >= job.processor && other.waitMilliseconds <= 0);
	const best = (withCapacity.length > 0 ? withCapacity : others).toSorted(byWaitThenCapacity)[0];
	if (!best) {
		return undefined;
	}

	const alone = createSchedule(idleSlots(slots)).append(job);
	const endsThere = slots.length === 0 ? best.waitMilliseconds : alone + best.waitMilliseconds + redirectMilliseconds;
	return expectedValueShare(job, endsThere) > minimumShare ? best : undefined;
};

/**
Decides about an arriving job by the value that it adds, less the value that the waiting jobs lose.

Handles peaks that reach the zones at different times, and peaks above the total capacity.

@param waiting Waiting jobs in scheduling order.

@example
```
admitJob(job, waiting, slots, others).admission;
```
*/
export const admitJob = (job: ArrivingJob, waiting: readonly ValuedJob[], slots: readonly SimulatedSlot[], others: readonly CellCapacity[]): AdmissionDecision => {
	const following = waiting.findIndex(({rank}) => rank > job.rank);
	const position = following === -1 ? waiting.length : following;
	const without = createSchedule(slots);
	for (const ahead of waiting.slice(0, position)) {
		without.append(ahead);
	}

	const behind = waiting.slice(position);
	const withJob = without.fork();
	const endsIn = withJob.append(job);
	const better = job.isRedirected ? undefined : findBetterCell(job, endsIn, slots, others);
	if (better) {
		return {admission: Admission.Redirect, endsIn, cell: better.cell};
	}

	if (job.freeProcessor >= job.processor && endsIn <= job.expiresIn) {
		return {admission: Admission.Accept, endsIn};
	}

	const availableCell = job.isRedirected ? undefined : others.find(other => freeProcessorIn(other) >= job.processor);
	const gain = (job.value * expectedValueShare(job, endsIn)) + valueOfAppended(withJob, behind) - valueOfAppended(without, behind);
	if (gain > minimumGain * job.value) {
		return {admission: Admission.Accept, endsIn};
	}

	// Free capacity elsewhere is used even if the answer will be late.
	return availableCell ? {admission: Admission.Redirect, endsIn, cell: availableCell.cell} : {admission: Admission.Refuse, endsIn};
};
