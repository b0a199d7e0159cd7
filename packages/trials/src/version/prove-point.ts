/**
The points of the brief under "What must always hold", and the behaviour during an outage of the platform.
*/
export enum ProvePoint {
	/** No task of a submission starts twice. */
	StartsOnce = 'starts-once',
	/** A job's answer is either complete or failed. */
	JobWhole = 'job-whole',
	/** A caller gets the whole answer to its own request. */
	WholeAnswer = 'whole-answer',
	/** A refusal that says "not run" is true. */
	TrueRefusal = 'true-refusal',
	/** A non-idempotent request runs at most once. */
	AtMostOnce = 'at-most-once',
	/** A leaving endpoint gets no new work after a few seconds. */
	LeavingEndpoint = 'leaving-endpoint',
	/** A graceful shutdown cuts no request. */
	GracefulShutdown = 'graceful-shutdown',
	/** An accepted document is in force everywhere within seconds and never reverts. */
	DocumentInForce = 'document-in-force',
	/** Requests and minted jobs go on while the platform is down. */
	PlatformOutage = 'platform-outage',
}

const points: ReadonlySet<string> = new Set(Object.values(ProvePoint));

/**
Tells whether a string is the name of a point.
*/
export const isProvePoint = (value: string): value is ProvePoint => points.has(value);

/**
What the histories of one point showed.
*/
export enum ProveStatus {
	/** Every history was checked and none violates the point. */
	Proved = 'proved',
	/** At least one history violates the point. */
	Failed = 'failed',
	/** No history was checked, or too little happened in them. */
	Unproved = 'unproved',
}
