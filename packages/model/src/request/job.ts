/**
What a task occupies at an endpoint, and what an endpoint offers.
*/
export type Resources = {
	/** Thousandths of a core. */
	readonly processor: number;
	readonly memoryMegabytes: number;
	/** Number of accelerators. */
	readonly accelerators: number;
};

/**
A set of like tasks of a job.
*/
export type Step = {
	readonly tasks: number;
	/** Room of each task. */
	readonly room: Resources;
	/** Rough duration of a task, in milliseconds. */
	readonly estimateMilliseconds: number;
	/** Positions of the steps whose tasks must have succeeded before. */
	readonly after: readonly number[];
	/** Label that the endpoint must carry. */
	readonly requiredLabel?: string;
	/** Label of the rack that holds the data. */
	readonly preferredRack?: string;
	/** Most tasks of the step on one endpoint. */
	readonly mostOnOneEndpoint?: number;
};

/**
A job whose answer is its end; it lives in the memory of the daemon that took it.
*/
export type Job = {
	/** Chosen by the caller; a repeated submission carries the same one. */
	readonly identifier: string;
	/** Opaque text that each task receives. */
	readonly specification: string;
	readonly steps: readonly Step[];
};

/**
How a job ended for its caller.
*/
export enum JobEnd {
	/** All tasks succeeded. */
	Complete = 'complete',
	/** A task failed as often as its queue allows. */
	Failed = 'failed',
	/** Nothing of the job has run, and nothing will. */
	Refused = 'refused',
	/** The caller left. */
	Cancelled = 'withdrawn',
}

/**
Why a job was refused.
*/
export enum RefusalReason {
	/** No queue of the configuration takes the path. */
	UnknownQueue = 'unknown-queue',
	/** The daemon has no configuration yet. */
	NoConfiguration = 'no-configuration',
	/** The submission can't be understood. */
	Malformed = 'malformed',
	/** The submission asks for something that this version doesn't do. */
	Unsupported = 'unsupported',
	/** The job would end after its deadline. */
	Overloaded = 'overloaded',
	/** No daemon that orders endpoints is in reach. */
	NoCell = 'no-cell',
	/** No endpoint is large enough or carries the label. */
	NoEndpoint = 'no-endpoint',
	/** The daemon is shutting down. */
	Leaving = 'leaving',
}
