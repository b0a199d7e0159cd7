import {Buffer} from 'node:buffer';
import {createFault, FaultKind} from '../request/fault.js';
import type {Job, RefusalReason} from '../request/job.js';
import type {EndpointEntry} from '../version/endpoint-entry.js';
import type {QueueConfiguration} from '../version/queue-configuration.js';

/**
The kinds of message between daemons.
*/
export enum FleetMessageKind {
	/** The sender lives; carries what it owns and how busy that is. */
	Heartbeat = 'beat',
	/** A holder hands a job to the owner of a cell. */
	Submit = 'submit',
	/** A holder no longer wants a job. */
	Cancel = 'withdraw',
	/** The owner is about to start the job's first task. */
	Started = 'started',
	/** A task of the job has succeeded. */
	TaskSucceeded = 'task-succeeded',
	/** The owner hands tasks that it has not started to another cell. */
	Redirect = 'redirect',
	/** The owner did not take the job; nothing of this hand-over has run. */
	Refuse = 'refuse',
	/** All tasks have succeeded, or one has failed for good. */
	End = 'end',
	/** A newer configuration than the receiver has. */
	Configuration = 'configuration',
	/** How busy a cell is, between two beats. */
	Load = 'load',
	/** The endpoints of a cell, as its owner last read them. */
	Endpoints = 'endpoints',
}

/**
Free room at endpoints of one service and of like speed.
*/
export type FreeCapacity = {
	readonly service: string;
	/** Expected run time over estimate. */
	readonly factor: number;
	/** Thousandths of a core. */
	readonly processor: number;
};

/**
How busy a cell is.
*/
export type CellLoad = {
	/** Room at open endpoints that tasks of the usual size can fill. */
	readonly free: readonly FreeCapacity[];
	/** Milliseconds of work that wait for each millisecond of the cell's capacity. */
	readonly backlogMilliseconds: number;
	/** Expected run time over estimate of each kind of endpoint, as far as the owner has learned it. */
	readonly kindFactors: Readonly<Record<string, number>>;
};

/**
A daemon's claim to order the endpoints of a cell.
*/
export type CellClaim = {
	/** Availability zone of the endpoints. */
	readonly cell: string;
	/** The claim with the highest token holds. */
	readonly token: number;
	/** Token with which the claim began. */
	readonly term: number;
	readonly load: CellLoad;
};

/**
A sign of life.
*/
export type Heartbeat = {
	readonly kind: FleetMessageKind.Heartbeat;
	readonly instance: string;
	/** Address of the sender's peer service. */
	readonly address: string;
	readonly zone: string;
	/** Unix milliseconds of the sender's start. */
	readonly startedAt: number;
	/** What its machine can carry, in thousandths of a core. */
	readonly processor: number;
	/** Silence after which the receiver may count the sender as lost. */
	readonly silentAfterMilliseconds: number;
	readonly claims: readonly CellClaim[];
	readonly configurationVersion: number;
	/** The sender is shutting down and claims nothing anew. */
	readonly isLeaving: boolean;
	/** Addresses of the daemons that the sender hears. */
	readonly known: readonly string[];
};

/**
A job on its way to the owner of a cell. Times are spans, since daemons share no clock.
*/
export type JobOrder = {
	readonly job: Job;
	/** Name of the part of the job that the order is for; "0" is what the caller handed in. */
	readonly part: string;
	readonly service: string;
	readonly queue: string;
	/** 0 goes first. */
	readonly priority: number;
	readonly mostAttempts: number;
	/** Time from its arrival in which the job should end. */
	readonly objectiveMilliseconds: number;
	/** Milliseconds until the job's objective. */
	readonly dueInMilliseconds: number;
	/** Milliseconds until the answer is worth nothing. */
	readonly worthlessInMilliseconds: number;
	/** Positions of tasks that aren't of this part: they have succeeded, or other owners have them. */
	readonly excluded: readonly string[];
	/** Hand-overs of the job whose tasks may have been started; attempts of a later one are numbered higher. */
	readonly generation: number;
	/** Highest token of the owners that may have started tasks of it. */
	readonly highestToken: number;
	/** How often owners have handed the part to another cell. */
	readonly moves: number;
	/** Other owners may have started tasks of the job, so that it can't be refused any more. */
	readonly isCommitted: boolean;
};

/**
Tasks that go to another cell, as a part of their own.
*/
export type Redirect = {
	readonly kind: FleetMessageKind.Redirect;
	readonly job: string;
	/** The part that they were in. */
	readonly part: string;
	/** The part that they are from now on. */
	readonly newPart: string;
	readonly positions: readonly string[];
	readonly cell: string;
};

export type FleetMessage
	= | Heartbeat
		| {readonly kind: FleetMessageKind.Submit; readonly cell: string; readonly order: JobOrder}
		| {readonly kind: FleetMessageKind.Cancel; readonly cell: string; readonly job: string; readonly part: string}
		| {readonly kind: FleetMessageKind.Started; readonly job: string; readonly part: string}
		| {readonly kind: FleetMessageKind.TaskSucceeded; readonly job: string; readonly part: string; readonly position: string}
		| Redirect
		| {readonly kind: FleetMessageKind.Refuse; readonly job: string; readonly part: string; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number}
		| {readonly kind: FleetMessageKind.End; readonly job: string; readonly part: string; readonly isComplete: boolean}
		| {readonly kind: FleetMessageKind.Configuration; readonly configuration: QueueConfiguration}
		| {readonly kind: FleetMessageKind.Load; readonly cell: string; readonly load: CellLoad}
		| {readonly kind: FleetMessageKind.Endpoints; readonly cell: string; readonly entries: readonly EndpointEntry[]};

/**
What the owner of a cell tells the holder of a job.
*/
export type JobUpdate = Extract<FleetMessage, {kind: FleetMessageKind.Started | FleetMessageKind.TaskSucceeded | FleetMessageKind.Redirect | FleetMessageKind.Refuse | FleetMessageKind.End}>;

const kinds: ReadonlySet<unknown> = new Set(Object.values(FleetMessageKind));

const isFleetMessage = (value: unknown): value is FleetMessage =>
	typeof value === 'object' && value !== null && kinds.has((value as {kind?: unknown}).kind);

/**
Messages that go together.
*/
export type FleetFrame = {
	/** Steady clock of the sender, in milliseconds. */
	readonly sentAt: number;
	readonly messages: readonly FleetMessage[];
};

/**
Encodes a frame.
*/
export const encodeFrame = (frame: FleetFrame): Uint8Array => Buffer.from(JSON.stringify(frame));

/**
Decodes a frame of a peer. Kinds of messages that this version doesn't know are left out, so that a newer peer can send them.

@throws A fault of kind `MalformedRequest` when the bytes are no frame.
*/
export const decodeFrame = (bytes: Uint8Array): FleetFrame => {
	const {sentAt, messages} = JSON.parse(Buffer.from(bytes).toString()) as {readonly sentAt?: unknown; readonly messages?: unknown};
	if (typeof sentAt !== 'number' || !Array.isArray(messages)) {
		throw createFault(FaultKind.MalformedRequest, 'the peer sent what is no frame of messages');
	}

	return {sentAt, messages: messages.filter(message => isFleetMessage(message))};
};
