import type {TaskKey} from '../request/task-key.js';

/**
Result of a call to an endpoint.
*/
export enum CallOutcome {
	/** The endpoint has carried out the call. */
	Done = 'done',
	/** The endpoint has accepted a higher fencing token. */
	Fenced = 'fenced',
	/** A run of the same or a later attempt has already ended or been stopped at the endpoint. */
	Superseded = 'superseded',
	/** The lease of the call had expired when it arrived. */
	Expired = 'expired',
	/** The endpoint has too few free resources for the task. */
	InsufficientCapacity = 'no-room',
	/** The endpoint rejected the call for another reason; nothing was done. */
	Rejected = 'rejected',
	/** An endpoint with another identifier answered; nothing was done, and nothing of the intended one is active any more. */
	OtherEndpoint = 'other-endpoint',
	/** No answer arrived in time; the endpoint may still carry out the call. */
	Unknown = 'unknown',
}

/**
How a run of a task ended at its endpoint.
*/
export enum RunEnd {
	/** The task succeeded. */
	Succeeded = 'succeeded',
	/** The task or the endpoint failed. */
	Failed = 'failed',
	/** A stop call ended it. */
	Stopped = 'stopped',
	/** Its lease expired. */
	Lapsed = 'lapsed',
	/** It ended for any other reason. */
	Other = 'other',
}

/**
A run that an endpoint reports as active.
*/
export type ActiveRun = {
	readonly task: TaskKey;
	readonly attempt: number;
	/** Processor use over the last half second, in thousandths of a core; undefined if the endpoint doesn't report it. */
	readonly processorInUse: number | undefined;
};

/**
A run that an endpoint reports as ended.
*/
export type EndedRun = {
	/** Increasing sequence number of the end within this incarnation of the endpoint. */
	readonly sequence: number;
	readonly task: TaskKey;
	readonly attempt: number;
	readonly end: RunEnd;
};

/**
Active and ended runs of an endpoint.
*/
export type EndpointReport = {
	/** Start of the incarnation that answered, in Unix milliseconds; undefined if the report lacks it. An endpoint that restarts keeps its identifier. */
	readonly startedAt?: number | undefined;
	/** The endpoint's monotonic clock when it answered, in milliseconds. */
	readonly clockMilliseconds: number;
	readonly active: readonly ActiveRun[];
	readonly ended: readonly EndedRun[];
};

/**
Answer to a start or stop call, with the endpoint's monotonic clock if the answer carries it. It doesn't say which incarnation answered.
*/
export type CallReply = {
	readonly outcome: CallOutcome;
	readonly clockMilliseconds: number | undefined;
};

/**
Answer to a poll; `report` is present only with the outcome `Done`.
*/
export type PollReply = {
	readonly outcome: CallOutcome;
	readonly report?: EndpointReport;
};

/**
Request to start a task.
*/
export type StartRequest = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly specification: string;
	/** End of the lease, on the endpoint's monotonic clock, in milliseconds. */
	readonly leaseEndMilliseconds: number;
	readonly fencingToken: number;
};

/**
Request to stop a task.
*/
export type StopRequest = Pick<StartRequest, 'task' | 'attempt' | 'fencingToken'>;

/**
Request for the state of an endpoint, which may also extend the leases of all its runs.
*/
export type PollRequest = {
	readonly fencingToken: number;
	/** The endpoint discards ended runs up to this sequence number. */
	readonly acknowledged: number;
	/** New end of the leases, on the endpoint's monotonic clock, in milliseconds; absent to leave them as they are. */
	readonly leaseEndMilliseconds?: number;
	/** How long the endpoint may wait for a run to end before it answers, in milliseconds. */
	readonly waitMilliseconds: number;
};

/**
Calls to an endpoint at its address. Whichever incarnation is up there carries them out.
*/
export type EndpointCalls = {
	readonly start: (request: StartRequest) => Promise<CallReply>;
	readonly stop: (request: StopRequest) => Promise<CallReply>;
	readonly poll: (request: PollRequest) => Promise<PollReply>;
	readonly close: () => void;
};
