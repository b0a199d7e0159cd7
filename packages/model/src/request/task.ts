import type {Outcome} from './outcome.js';
import type {FaultKind} from './fault.js';

/**
Header fields in the order of the wire, as pairs of a name and a value.
*/
export type HeaderList = ReadonlyArray<readonly [name: string, value: string]>;

/**
One unit of work for one slot of an endpoint.
*/
export type Task = {
	readonly method: string;
	/** Path and query as the endpoint sees them, beginning with a slash. */
	readonly path: string;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	/** Kind named in the service document; the empty string when the caller named none. */
	readonly kind: string;
};

/**
What became of one task.
*/
export type TaskAnswer = {
	readonly outcome: Outcome;
	/** HTTP status of the endpoint; 0 when there is no whole answer. */
	readonly status: number;
	readonly headers: HeaderList;
	readonly body: Uint8Array;
	/** Address of the endpoint that answered or was tried last; empty when none was. */
	readonly endpoint: string;
	/** Why the task has no whole answer. */
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
	/** Time that the caller grants, counted from the arrival. */
	readonly deadlineMilliseconds: number;
	readonly tasks: readonly Task[];
	/** W3C trace context of the caller; the empty string when there is none. */
	readonly traceparent: string;
};

/**
The one answer to a submission; a repeat of the same identifier gets it again.
*/
export type SubmissionAnswer = {
	readonly outcome: Outcome;
	/** One answer for each task, in the order of the tasks; empty when none was tried. */
	readonly answers: readonly TaskAnswer[];
	readonly fault?: FaultKind;
	readonly detail?: string;
	readonly retryAfterMilliseconds?: number;
};
