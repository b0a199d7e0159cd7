import type {Outcome} from './outcome.js';
import type {FaultKind} from './fault.js';

/**
Header fields in the order in which they are sent, as pairs of name and value.
*/
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/**
A unit of work that occupies one slot of an endpoint.
*/
export type Task = {
	readonly method: string;
	/** Path and query as sent to the endpoint, with a leading slash. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	/** Kind from the service document; the empty string if the caller gave none. */
	readonly kind: string;
};

/**
Result of one task.
*/
export type TaskAnswer = {
	readonly outcome: Outcome;
	/** HTTP status of the endpoint; 0 if there is no complete answer. */
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	/** Address of the endpoint that answered or was tried last; empty if none was tried. */
	readonly endpoint: string;
	/** Why the task has no complete answer. */
	readonly fault?: FaultKind;
	readonly detail?: string;
	/** Number of times that the task was sent to an endpoint. */
	readonly attempts: number;
};

/**
A job, or a single request that carries an identifier.
*/
export type Submission = {
	readonly identifier: string;
	readonly service: string;
	/** Team of the caller, for quotas. */
	readonly team: string;
	/** Time within which the caller wants an answer, counted from the arrival. */
	readonly deadlineMilliseconds: number;
	readonly tasks: readonly Task[];
	/** W3C trace context of the caller; the empty string if there is none. */
	readonly traceparent: string;
};

/**
Answer to a submission; a repeated submission with the same identifier gets the same answer.
*/
export type SubmissionAnswer = {
	readonly outcome: Outcome;
	/** One answer for each task, in the order of the tasks; empty if none was tried. */
	readonly answers: readonly TaskAnswer[];
	readonly fault?: FaultKind;
	readonly detail?: string;
	readonly retryAfterMilliseconds?: number;
};
