import type {FaultKind} from '../request/fault.js';
import type {Outcome} from '../request/outcome.js';

/**
Kind of step in the processing of a request or job.
*/
export enum RecordStepKind {
	/** The daemon accepted the request. */
	Accepted = 'accepted',
	/** A repeated submission joined the earlier one with the same identifier. */
	Joined = 'joined',
	/** A claim of the identifier was sent to the platform's table. */
	Claimed = 'claimed',
	/** The submission was forwarded to the instance that holds its identifier. */
	Forwarded = 'forwarded',
	/** A task was granted a slot of an endpoint. */
	SlotGranted = 'slot-granted',
	/** The first byte of a task was sent to an endpoint. */
	Sent = 'sent',
	/** The endpoint answered. */
	Answered = 'answered',
	/** An attempt ended without a complete answer. */
	AttemptFailed = 'attempt-failed',
	/** A task is sent to an endpoint again. */
	Retried = 'retried',
}

/**
One step, or several equal steps of a job's tasks.
*/
export type RecordStep = {
	/** Time of the first step, in milliseconds since the start of the record. */
	readonly at: number;
	readonly kind: RecordStepKind;
	readonly endpoint?: string;
	readonly detail?: string;
	/** Number of equal steps that this entry represents; absent for a single one. */
	readonly count?: number;
	/** Time of the last step, in milliseconds since the start of the record; absent for a single one. */
	readonly lastAt?: number;
};

/**
A daemon's record of a recent request or job.
*/
export type RequestRecord = {
	/** Identifier of the job, or the request id that the caller received in the header `galenakeel-request`. */
	readonly identifier: string;
	readonly instance: string;
	readonly service: string;
	/** Start time in ISO 8601 format. */
	readonly startedAt: string;
	/** Absent until the request is answered. */
	readonly outcome?: Outcome;
	readonly fault?: FaultKind;
	readonly detail?: string;
	/** Time from the start to the answer, in milliseconds; absent until the request is answered. */
	readonly durationMilliseconds?: number;
	readonly steps: readonly RecordStep[];
};
