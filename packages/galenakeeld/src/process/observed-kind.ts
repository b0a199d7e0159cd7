/**
Kinds of observed work.
*/
export enum ObservedKind {
	/** A single request without an identifier. */
	Request = 'request',
	/** A job, or a single request with an identifier. */
	Job = 'job',
}
