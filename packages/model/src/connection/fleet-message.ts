import {Buffer} from 'node:buffer';
import {createFault, FaultKind} from '../request/fault.js';
import type {Job, RefusalReason} from '../request/job.js';
import type {EndpointEntry} from '../version/endpoint-entry.js';
import type {QueueConfiguration} from '../version/queue-configuration.js';

/**
Kinds of messages between daemons.
*/
export enum FleetMessageKind {
	/** Heartbeat with the cells that the sender owns and their load. */
	Heartbeat = 'beat',
	/** Heartbeat of a sender whose description has not changed since its last full heartbeat on the stream. */
	KeepAlive = 'keep-alive',
	/** The receiver is to confirm this frame at once, with a frame of its own. */
	ConfirmationRequest = 'confirm',
	/** A holder submits a job to the owner of a cell. */
	Submit = 'submit',
	/** A holder cancels a job. */
	Cancel = 'withdraw',
	/** The owner is about to start the job's first task. */
	Started = 'started',
	/** A task of the job has succeeded. */
	TaskSucceeded = 'task-succeeded',
	/** The owner transfers tasks that it has not started to another cell. */
	Redirect = 'redirect',
	/** The owner did not accept the job; no task of this submission has run. */
	Refuse = 'refuse',
	/** All tasks have succeeded, or one has failed permanently. */
	End = 'end',
	/** The owner has lost the holder meanwhile and stopped what was running. */
	Dropped = 'dropped',
	/** The same job was submitted again, so this holder's caller waits for it no longer. */
	Superseded = 'superseded',
	/** A version of the configuration that the receiver may not know of. */
	ConfigurationVersion = 'configuration-version',
	/** The receiver is to send its configuration, on a connection of its own. */
	ConfigurationRequest = 'configuration-request',
	/** The sender's configuration. Nothing else travels on its connection, since it may take long. */
	Configuration = 'configuration',
	/** Load of a cell, sent between two heartbeats. */
	Load = 'load',
	/** Endpoints of a cell, as its owner last read them. */
	Endpoints = 'endpoints',
}

/**
Free capacity of the endpoints of one service that have a similar speed.
*/
export type FreeCapacity = {
	readonly service: string;
	/** Ratio of expected run time to estimate. */
	readonly factor: number;
	/** Thousandths of a core. */
	readonly processor: number;
};

/**
Load of a cell.
*/
export type CellLoad = {
	/** Free capacity of available endpoints that tasks of typical size can use. */
	readonly free: readonly FreeCapacity[];
	/** Queued work divided by the cell's capacity: milliseconds until the present queue is worked off. */
	readonly backlogMilliseconds: number;
	/** Jobs wait, or so little capacity is free that jobs may have to be redirected soon. */
	readonly isShortOfCapacity: boolean;
	/** Ratio of expected run time to estimate by kind of endpoint, for the kinds that the owner has measured. */
	readonly kindFactors: Readonly<Record<string, number>>;
};

/**
A daemon's claim to the ownership of a cell: only the owner starts tasks on the cell's endpoints.
*/
export type CellClaim = {
	/** Name of the cell. */
	readonly cell: string;
	/** The claim with the highest token is valid. */
	readonly token: number;
	/** Token at the start of the claim. */
	readonly term: number;
	readonly load: CellLoad;
};

/**
Periodic message that shows that the sender is alive.
*/
export type Heartbeat = {
	readonly kind: FleetMessageKind.Heartbeat;
	readonly instance: string;
	/** Address of the sender's peer service. */
	readonly address: string;
	readonly zone: string;
	/** Unix milliseconds of the sender's start. */
	readonly startedAt: number;
	/** Processor capacity of the sender's machine, in thousandths of a core. */
	readonly processor: number;
	/** Time without messages after which the receiver may regard the sender as lost. */
	readonly silentAfterMilliseconds: number;
	/** Time without messages after which the sender needs to regard the receiver as lost. */
	readonly neededSilenceMilliseconds: number;
	readonly claims: readonly CellClaim[];
	readonly configurationVersion: number;
	/** The sender is shutting down and makes no new claims. */
	readonly isLeaving: boolean;
	/** Addresses of daemons that the receiver should exchange heartbeats with. */
	readonly known: readonly string[];
	/** Number of cells of each availability zone, where the sender knows it. */
	readonly cellCounts: Readonly<Record<string, number>>;
};

/**
Short form of a heartbeat.
*/
export type KeepAlive = {
	readonly kind: FleetMessageKind.KeepAlive;
	/** Time without messages after which the receiver may regard the sender as lost. */
	readonly silentAfterMilliseconds: number;
	/** Time without messages after which the sender needs to regard the receiver as lost. */
	readonly neededSilenceMilliseconds: number;
	/** Version of the configuration that the sender has installed; -1 while it has none. */
	readonly configurationVersion: number;
};

/**
The assignment of a part of a job to an owner. Orders and updates name it, since a part is assigned to several owners in turn and messages about an earlier assignment may arrive late.
*/
export type AssignmentReference = {
	readonly job: string;
	/** Name of the part of the job; "0" is the job as the caller submitted it. */
	readonly part: string;
	/** Unique at the holder, also over its restarts. */
	readonly assignment: number;
};

/**
Job, or part of one, that a holder submits to the owner of a cell. Times are durations, since daemons share no clock.
*/
export type JobOrder = {
	readonly job: Job;
	/** Name of the part of the job; "0" is the job as the caller submitted it. */
	readonly part: string;
	/** Unique at the holder, also over its restarts. The same order may arrive several times. */
	readonly assignment: number;
	/** Milliseconds since the holder first sent the order. */
	readonly assignedMillisecondsAgo: number;
	readonly service: string;
	readonly queue: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly mostAttempts: number;
	/** Target time from the job's arrival to its end. */
	readonly objectiveMilliseconds: number;
	/** Milliseconds that remain until the job's objective. */
	readonly dueInMilliseconds: number;
	/** Milliseconds until the job expires: its answer then has no value. */
	readonly worthlessInMilliseconds: number;
	/** Positions of tasks that don't belong to this part: they have succeeded, or are assigned to other owners. */
	readonly excluded: readonly string[];
	/** Number of the job's submissions to owners whose tasks may have been started; attempts of later ones have higher numbers. */
	readonly generation: number;
	/** Milliseconds until each run has ended that other owners may have started for the part; undefined if the holder doesn't know, as in orders of earlier builds. */
	readonly earlierRunsMilliseconds?: number;
	/** Highest token of the owners that may have started tasks of the job. */
	readonly highestToken: number;
	/** Number of times that owners have transferred the part to another cell. */
	readonly moves: number;
	/** Other owners may have started tasks of the job, so it can no longer be refused. */
	readonly isCommitted: boolean;
};

/**
Tasks that an owner transfers to another cell. The holder submits them there as a new part of the job.
*/
export type TaskRedirect = {
	readonly positions: readonly string[];
	readonly cell: string;
};

/**
Transfer of tasks to another cell.
*/
export type Redirect = AssignmentReference & TaskRedirect & {readonly kind: FleetMessageKind.Redirect};

/**
End of all tasks of an assignment that were not redirected.
*/
export type PartEnd = AssignmentReference & {
	readonly kind: FleetMessageKind.End;
	readonly isComplete: boolean;
	/** All redirects of the assignment, since the holder may have missed the messages. */
	readonly redirects: readonly TaskRedirect[];
};

/**
End of an assignment whose holder the owner had lost.
*/
export type DroppedPart = AssignmentReference & {
	readonly kind: FleetMessageKind.Dropped;
	/** A task has run, or may have. */
	readonly hasStarted: boolean;
	/** Positions of the tasks that succeeded before. */
	readonly succeeded: readonly string[];
	readonly redirects: readonly TaskRedirect[];
};

/**
An owner's refusal of a part of which it has started no task under this assignment.
*/
export type Refusal = AssignmentReference & {
	readonly kind: FleetMessageKind.Refuse;
	readonly reason: RefusalReason;
	readonly retryAfterMilliseconds: number;
	/** The owner has started tasks of the same job under another assignment, as when its caller submits it again, so it can't be said that the job has not run. */
	readonly mayHaveRun: boolean;
};

/**
Tells a peer of a version of the configuration.
*/
export type ConfigurationVersion = {
	readonly kind: FleetMessageKind.ConfigurationVersion;
	/** The version that the sender has installed; -1 while it has none. */
	readonly installed: number;
	/** The newest version that the sender has installed or heard of. */
	readonly newest: number;
};

export type FleetMessage
	= | Heartbeat
		| KeepAlive
		| {readonly kind: FleetMessageKind.ConfirmationRequest}
		| {readonly kind: FleetMessageKind.Submit; readonly cell: string; readonly term: number; readonly order: JobOrder}
		| (AssignmentReference & {readonly kind: FleetMessageKind.Cancel; readonly cell: string})
		| (AssignmentReference & {readonly kind: FleetMessageKind.Started})
		| (AssignmentReference & {readonly kind: FleetMessageKind.TaskSucceeded; readonly position: string})
		| Redirect
		| Refusal
		| PartEnd
		| DroppedPart
		| (AssignmentReference & {readonly kind: FleetMessageKind.Superseded})
		| ConfigurationVersion
		| {readonly kind: FleetMessageKind.ConfigurationRequest}
		| {readonly kind: FleetMessageKind.Configuration; readonly configuration: QueueConfiguration}
		| {readonly kind: FleetMessageKind.Load; readonly cell: string; readonly load: CellLoad}
		| {readonly kind: FleetMessageKind.Endpoints; readonly cell: string; readonly entries: readonly EndpointEntry[]};

/**
Updates about a job that the owner of a cell sends to the job's holder.
*/
export type JobUpdate = Extract<FleetMessage, {kind: FleetMessageKind.Started | FleetMessageKind.TaskSucceeded | FleetMessageKind.Redirect | FleetMessageKind.Refuse | FleetMessageKind.End | FleetMessageKind.Dropped | FleetMessageKind.Superseded}>;

const kinds: ReadonlySet<unknown> = new Set(Object.values(FleetMessageKind));

const isFleetMessage = (value: unknown): value is FleetMessage =>
	typeof value === 'object' && value !== null && kinds.has((value as {kind?: unknown}).kind);

/**
The last frame of a peer that a daemon has processed.
*/
export type HeardFrame = {
	/** Unix milliseconds of the peer's start, since its monotonic clock begins anew with it. */
	readonly startedAt: number;
	/** Monotonic clock of the peer, in milliseconds. */
	readonly sentAt: number;
};

/**
Batch of messages that are sent together.
*/
export type FleetFrame = {
	/** Monotonic clock of the sender, in milliseconds. */
	readonly sentAt: number;
	/** What the sender has processed of the receiver's frames; undefined if nothing. */
	readonly heard?: HeardFrame;
	readonly messages: readonly FleetMessage[];
};

/**
A frame as it is sent.
*/
export type EncodedFrame = {
	readonly bytes: Uint8Array;
	/** Encoded size of each message. */
	readonly messageBytes: readonly number[];
};

/**
Encodes a frame.

@example
```
const {bytes, messageBytes} = encodeFrame({sentAt: performance.now(), messages: [heartbeat]});
```
*/
export const encodeFrame = ({sentAt, heard, messages}: FleetFrame): EncodedFrame => {
	const texts = messages.map(message => JSON.stringify(message));
	const head = JSON.stringify(heard ? {sentAt, heard} : {sentAt});
	return {
		bytes: Buffer.from(`${head.slice(0, -1)},"messages":[${texts.join(',')}]}`),
		messageBytes: texts.map(text => Buffer.byteLength(text)),
	};
};

type ParsedFrame = {readonly sentAt?: unknown; readonly heard?: {readonly startedAt?: unknown; readonly sentAt?: unknown} | undefined; readonly messages?: unknown};

const parseFrame = (text: string): ParsedFrame => {
	try {
		return (JSON.parse(text) ?? {}) as ParsedFrame;
	} catch (error) {
		throw createFault(FaultKind.MalformedRequest, 'the peer sent what is no JSON', error);
	}
};

/**
Decodes a frame from a peer. Messages of unknown kinds are ignored, so that peers of a newer version can send them.

@throws A fault of kind `MalformedRequest` if the bytes are not the JSON of a frame.
*/
export const decodeFrame = (bytes: Uint8Array): FleetFrame => {
	const {sentAt, heard, messages} = parseFrame(Buffer.from(bytes).toString());
	if (typeof sentAt !== 'number' || !Array.isArray(messages)) {
		throw createFault(FaultKind.MalformedRequest, 'the peer sent what is no frame of messages');
	}

	const known = messages.filter(message => isFleetMessage(message));
	return typeof heard?.startedAt === 'number' && typeof heard.sentAt === 'number'
		? {sentAt, heard: {startedAt: heard.startedAt, sentAt: heard.sentAt}, messages: known}
		: {sentAt, messages: known};
};
