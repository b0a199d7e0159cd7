import type {JobEnd, RefusalReason} from '@galenakeel/model/request/job.js';

/**
The answer to the caller of a job.
*/
export type JobAnswer
	= | {readonly end: JobEnd.Complete | JobEnd.Failed | JobEnd.Cancelled}
		| {readonly end: JobEnd.Refused; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number}
	/** Undefined end: it is unknown whether the job has run. */
		| {readonly end: undefined};
