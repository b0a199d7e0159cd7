import {FaultKind} from '@galenakeel/model/request/fault.js';

/**
Load of this instance as a request finds it. Work is expected run time at speed 1, in milliseconds.
*/
export type AdmissionLoad = {
	/** Slots in which a task of the request could start now. */
	readonly free: number;
	/** Work that the usable slots complete per millisecond. */
	readonly capacity: number;
	/** Work queued for the same slots. */
	readonly waitingWork: number;
	/** Part of the queued work that belongs to the request's team. */
	readonly teamWork: number;
	/** Fraction of the capacity to which the team is entitled, from 0 to 1. */
	readonly teamShare: number;
	/** Whether the expected wait has stayed high for longer than a burst causes. */
	readonly isStanding: boolean;
};

/**
Demand and limits of a request.
*/
export type AdmissionDemand = {
	/** Low estimate of the run time of its longest task on the fastest endpoint, in milliseconds. */
	readonly runMilliseconds: number;
	/** Total work of its tasks. */
	readonly work: number;
	readonly deadlineMilliseconds: number;
	readonly timeoutMilliseconds: number;
	readonly maximumQueueMilliseconds: number;
};

/**
Reason for refusing a request.
*/
export type Refusal = {readonly fault: FaultKind; readonly detail: string; readonly retryAfterMilliseconds?: number};

/** Fraction of the maximum queue allowed while a queue is standing, so that the queue is short when the load falls. */
const standingQueueShare = 0.25;

/**
Expected time until a task that arrives now starts, in milliseconds.

A team's queued work is served at least at the rate of the team's share. The wait never exceeds the time for all queued work, since shares that other teams leave unused are redistributed.
*/
export const expectedWaitMilliseconds = ({free, capacity, waitingWork, teamWork, teamShare}: AdmissionLoad): number =>
	free > 0 ? 0 : Math.min(waitingWork, teamWork / teamShare) / capacity;

const neverRunnable = ({runMilliseconds, deadlineMilliseconds, timeoutMilliseconds}: AdmissionDemand): Refusal | undefined => {
	const limit = Math.min(deadlineMilliseconds, timeoutMilliseconds);
	return runMilliseconds > limit
		? {fault: FaultKind.NeverRunnable, detail: `a task of this kind is expected to take at least ${Math.round(runMilliseconds)} ms, above the ${limit} ms that it is given`}
		: undefined;
};

const overloaded = (wait: number, detail: string): Refusal => ({fault: FaultKind.Overloaded, detail, retryAfterMilliseconds: wait});

/**
Decides whether to admit a request, before any of its tasks starts; `undefined` admits it.

A standing queue is limited to a fraction of the maximum: it adds latency to every response and does not raise throughput.

@example
```
const refusal = decideAdmission(demand, load);
```
*/
export const decideAdmission = (demand: AdmissionDemand, load: AdmissionLoad): Refusal | undefined => {
	const never = neverRunnable(demand);
	if (never) {
		return never;
	}

	const wait = expectedWaitMilliseconds(load);
	const bound = demand.maximumQueueMilliseconds * (load.isStanding ? standingQueueShare : 1);
	if (wait > bound) {
		return overloaded(wait, `the expected wait of ${Math.round(wait)} ms is above ${Math.round(bound)} ms`);
	}

	const finish = wait + Math.max(demand.runMilliseconds, demand.work / load.capacity);
	return finish > demand.deadlineMilliseconds
		? overloaded(wait, `the expected response of ${Math.round(finish)} ms is above the deadline of ${demand.deadlineMilliseconds} ms`)
		: undefined;
};
