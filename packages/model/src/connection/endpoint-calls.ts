import type {TaskKey} from '../request/task-key.js';

/**
How an endpoint answered an order.
*/
export enum CallOutcome {
	/** The endpoint has carried the order out. */
	Done = 'done',
	/** The endpoint obeys a higher fencing token. */
	Fenced = 'fenced',
	/** A run of this attempt or a later one was stopped or has ended there. */
	Superseded = 'superseded',
	/** The lease of the order had passed when it arrived. */
	Expired = 'expired',
	/** The task doesn't fit. */
	InsufficientCapacity = 'no-room',
	/** The endpoint did nothing, for another reason. */
	Rejected = 'rejected',
	/** Another life of the endpoint answered. */
	OtherIncarnation = 'other-life',
	/** No answer came in time; the order may be carried out later. */
	Unknown = 'unknown',
}

/**
How a run ended at its endpoint.
*/
export enum RunEnd {
	/** The task succeeded. */
	Succeeded = 'succeeded',
	/** The task or the endpoint failed. */
	Failed = 'failed',
	/** An order stopped it. */
	Stopped = 'stopped',
	/** Its lease passed. */
	Lapsed = 'lapsed',
	/** It ended for a reason of another kind. */
	Other = 'other',
}

/**
A run that an endpoint reports as active.
*/
export type ActiveRun = {
	readonly task: TaskKey;
	readonly attempt: number;
	/** Processor in use over the last half second, in thousandths of a core; undefined where the endpoint doesn't tell. */
	readonly processorInUse: number | undefined;
};

/**
A run that an endpoint reports as ended.
*/
export type EndedRun = {
	/** Number of the end in this life of the endpoint; rises. */
	readonly sequence: number;
	readonly task: TaskKey;
	readonly attempt: number;
	readonly end: RunEnd;
};

/**
What an endpoint tells about its runs.
*/
export type EndpointReport = {
	/** The endpoint's steady clock when it answered, in milliseconds. */
	readonly clockMilliseconds: number;
	readonly active: readonly ActiveRun[];
	readonly ended: readonly EndedRun[];
};

/**
The answer to an order, with the clock of the endpoint if it told it.
*/
export type CallReply = {
	readonly outcome: CallOutcome;
	readonly clockMilliseconds: number | undefined;
};

/**
The answer to a look; `report` stands only with the outcome `Done`.
*/
export type PollReply = {
	readonly outcome: CallOutcome;
	readonly report?: EndpointReport;
};

/**
A start of a task.
*/
export type StartRequest = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly specification: string;
	/** End of the lease, on the endpoint's steady clock, in milliseconds. */
	readonly leaseEndMilliseconds: number;
	readonly fencingToken: number;
};

/**
A stop of a task.
*/
export type StopRequest = Pick<StartRequest, 'task' | 'attempt' | 'fencingToken'>;

/**
A look at an endpoint, which may extend the lease of all that runs there.
*/
export type PollRequest = {
	readonly fencingToken: number;
	/** Ends up to this sequence number are forgotten by the endpoint. */
	readonly acknowledged: number;
	/** New end of the lease, on the endpoint's steady clock; the lease isn't extended without it. */
	readonly leaseEndMilliseconds?: number;
	/** How long the endpoint may wait for an end, in milliseconds. */
	readonly waitMilliseconds: number;
};

/**
The orders to one life of an endpoint.
*/
export type EndpointCalls = {
	readonly start: (request: StartRequest) => Promise<CallReply>;
	readonly stop: (request: StopRequest) => Promise<CallReply>;
	readonly poll: (request: PollRequest) => Promise<PollReply>;
	readonly close: () => void;
};
