import type {Outcome} from '@galenakeel/model/request/outcome.js';
import type {EndpointStart} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';

/**
What one caller saw of one submission. Times are of the wall clock, in milliseconds.
*/
export type CallerOperation = {
	/** Identifier of the submission; the empty string for a request without one. */
	readonly identifier: string;
	/** Names of its tasks, as they reach the endpoint. */
	readonly tasks: readonly string[];
	readonly sentAt: number;
	readonly endedAt: number;
	readonly outcome: Outcome;
	/** Status of the answer; 0 when none came. */
	readonly status: number;
	readonly text: string;
	/** Whether an answer began and was cut. */
	readonly isCut: boolean;
	/** Whether the operation went to a daemon that the history killed or froze meanwhile. */
	readonly isDisturbed: boolean;
	/** Whether the document of the service lets a task start more than once. */
	readonly isIdempotent?: boolean;
	/** Length that each task's answer is padded to. */
	readonly answerBytes?: number;
};

/**
A look at the version that a daemon has in force.
*/
export type VersionLook = {readonly incarnation: string; readonly at: number; readonly version: number};

/**
An operator's attempt to accept a document.
*/
export type AcceptOperation = {
	readonly sentAt: number;
	readonly endedAt: number;
	/** Version under which the document was accepted; `undefined` when the operator was told that it was not. */
	readonly version: number | undefined;
};

/**
An endpoint that the platform's list shows as leaving.
*/
export type LeavingMark = {
	readonly endpoint: string;
	readonly listedAt: number;
	/** When another run of the endpoint was listed at the same address. */
	restartedAt?: number;
};

/**
The merged history of one run.
*/
export type History = {
	readonly operations: CallerOperation[];
	readonly starts: EndpointStart[];
	readonly accepts: AcceptOperation[];
	readonly looks: VersionLook[];
	readonly leaving: LeavingMark[];
};

/**
Creates an empty history.
*/
export const createHistory = (): History => ({
	operations: [], starts: [], accepts: [], looks: [], leaving: [],
});
