import type {FaultKind} from '../request/fault.js';
import type {Outcome} from '../request/outcome.js';

/**
What happened to a request or job at one step of its way.
*/
export enum RecordStepKind {
	/** The daemon took the request. */
	Accepted = 'accepted',
	/** A repeat of an identifier joined the submission that is kept. */
	Joined = 'joined',
	/** The claim of the identifier was asked of the platform's table. */
	Claimed = 'claimed',
	/** The submission was handed to the instance that holds its identifier. */
	Forwarded = 'forwarded',
	/** A task got a slot of an endpoint. */
	SlotGranted = 'slot-granted',
	/** The first byte of a task went out to an endpoint. */
	Sent = 'sent',
	/** The endpoint answered. */
	Answered = 'answered',
	/** An attempt ended without a whole answer. */
	AttemptFailed = 'attempt-failed',
	/** A task goes to an endpoint again. */
	Retried = 'retried',
}

/**
One step, or several alike of a job's tasks.
*/
export type RecordStep = {
	/** Time since the start of the record, in milliseconds; that of the first when there are several. */
	readonly at: number;
	readonly kind: RecordStepKind;
	readonly endpoint?: string;
	readonly detail?: string;
	/** How many steps alike this entry stands for; absent for one. */
	readonly count?: number;
	/** Time of the last of several, in milliseconds since the start of the record. */
	readonly lastAt?: number;
};

/**
What a daemon remembers of a recent request or job.
*/
export type RequestRecord = {
	/** The identifier of the job, or the request id that the caller got in the field `galenakeel-request`. */
	readonly identifier: string;
	readonly instance: string;
	readonly service: string;
	/** Time of the start, as an ISO 8601 text. */
	readonly startedAt: string;
	/** Absent while there is no answer. */
	readonly outcome?: Outcome;
	readonly fault?: FaultKind;
	readonly detail?: string;
	/** Time until the answer, in milliseconds; absent while there is none. */
	readonly durationMilliseconds?: number;
	readonly steps: readonly RecordStep[];
};
