import {FaultKind} from '@galenakeel/model/request/fault.js';

/**
What a request meets on this instance. Work is expected run time at speed 1, in milliseconds.
*/
export type AdmissionLoad = {
	/** Slots that a task of the request could take now. */
	readonly free: number;
	/** Work that the usable slots do in a millisecond. */
	readonly capacity: number;
	/** Work that waits for the same slots. */
	readonly waitingWork: number;
	/** Work of the request's team among it. */
	readonly teamWork: number;
	/** Part of the capacity that the team is due, from 0 to 1. */
	readonly teamShare: number;
	/** Whether the expected wait has stayed high, rather than for a burst. */
	readonly isStanding: boolean;
};

/**
What a request asks for.
*/
export type AdmissionDemand = {
	/** Shortest run time to be expected of its longest task, on the fastest endpoint, in milliseconds. */
	readonly runMilliseconds: number;
	/** Work of all its tasks. */
	readonly work: number;
	readonly deadlineMilliseconds: number;
	readonly timeoutMilliseconds: number;
	readonly maximumQueueMilliseconds: number;
};

/**
Why a request is not taken.
*/
export type Refusal = {readonly fault: FaultKind; readonly detail: string; readonly retryAfterMilliseconds?: number};

/** Part of the longest queue that a standing one is kept to, so that it is short when the load falls. */
const standingQueueShare = 0.25;

/**
Expected time until a task that arrives now would start, in milliseconds.

A team waits for its own work at its due rate, and never longer than for all the waiting work, since unused shares go to the others.
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
Decides on a request before anything of it has started; `undefined` admits it.

Of a standing queue only a part of the longest is allowed: it adds to every response and nothing to the throughput.

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
