/**
Resources that a task requires or that an endpoint provides.
*/
export type Resources = {
	/** Thousandths of a core. */
	readonly processor: number;
	readonly memoryMegabytes: number;
	/** Number of accelerators. */
	readonly accelerators: number;
};

/**
A set of identical tasks of a job.
*/
export type Step = {
	readonly tasks: number;
	/** Resources that each task requires. */
	readonly room: Resources;
	/** Estimated duration of a task, in milliseconds. */
	readonly estimateMilliseconds: number;
	/** Positions of the steps whose tasks must have succeeded before this one starts. */
	readonly after: readonly number[];
	/** Label that the endpoint must have. */
	readonly requiredLabel?: string;
	/** Label of the rack that holds the data. */
	readonly preferredRack?: string;
	/** Maximum number of tasks of the step on one endpoint. */
	readonly mostOnOneEndpoint?: number;
};

/**
A job whose answer reports only how it ended; it is kept in the memory of the daemon that accepted it.
*/
export type Job = {
	/** Chosen by the caller; a repeated submission has the same identifier. */
	readonly identifier: string;
	/** Opaque text that each task receives. */
	readonly specification: string;
	readonly steps: readonly Step[];
};

/**
How a job ended, from its caller's point of view.
*/
export enum JobEnd {
	/** All tasks succeeded. */
	Complete = 'complete',
	/** A task reached the maximum number of failed attempts of its queue. */
	Failed = 'failed',
	/** No task of the job has run or will run. */
	Refused = 'refused',
	/** The caller disconnected, which cancels the job. */
	Cancelled = 'withdrawn',
}

/**
Why a job was refused.
*/
export enum RefusalReason {
	/** No queue of the configuration matches the host and path. */
	UnknownQueue = 'unknown-queue',
	/** The daemon has no configuration yet. */
	NoConfiguration = 'no-configuration',
	/** The submission is malformed. */
	Malformed = 'malformed',
	/** The submission uses a feature that this version doesn't support. */
	Unsupported = 'unsupported',
	/** The job would end after its deadline. */
	Overloaded = 'overloaded',
	/** No daemon that owns a cell is reachable. */
	NoCell = 'no-cell',
	/** No endpoint is large enough or has the required label. */
	NoEndpoint = 'no-endpoint',
	/** The daemon is shutting down. */
	Leaving = 'leaving',
}
