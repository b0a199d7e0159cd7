import type {Agent} from 'node:http';
import type {CallOptions} from '@galenakeel/stand-ins/connection/http-json.js';
import {submitAsCaller, type CallerResult} from '../request/caller.js';
import type {CallerOperation, History} from '../request/history.js';
import type {Fleet} from './fleet.js';

/**
A submission to be recorded.
*/
export type RecordedSubmission = {
	/** Identifier of a job; the empty string for a request without one: a single one for one task, a job with a minted identifier for several. */
	readonly identifier: string;
	readonly service: string;
	/** Names of the tasks; a single request has one. */
	readonly tasks: readonly string[];
	readonly runMilliseconds: number;
	/** Instance through which the submission goes. */
	readonly instance: string;
	readonly deadlineMilliseconds?: number;
	/** Key of a single request; only its identifier tells it from a job. */
	readonly idempotencyKey?: string;
	readonly isIdempotent?: boolean;
	/** Length that each task's answer is padded to. */
	readonly answerBytes?: number;
	/** Time after which the caller gives up. */
	readonly callerTimeoutMilliseconds?: number;
	/** Address that the submission goes to instead of the instance's own, such as the balancer's. */
	readonly address?: string;
	/** Keeps the caller's connections for its further requests. */
	readonly agent?: Agent;
	/** Tells, once the operation has ended, whether its daemon was killed or frozen meanwhile. */
	readonly isDisturbed?: () => boolean;
};

const pathOf = (task: string, {runMilliseconds, answerBytes = 0}: RecordedSubmission): string => `/sheet?task=${task}&run=${runMilliseconds}&bytes=${answerBytes}`;

const stillRunning = 202;

const sendSingle = async (address: string, submission: RecordedSubmission, options: CallOptions): Promise<CallerResult> => {
	const {service, tasks: [task], deadlineMilliseconds, idempotencyKey} = submission;
	const headers: Record<string, string> = {
		...(deadlineMilliseconds !== undefined && {'galenakeel-deadline-milliseconds': String(deadlineMilliseconds)}),
		...(idempotencyKey !== undefined && {'idempotency-key': idempotencyKey}),
	};
	return submitAsCaller(address, 'POST', `/v1/services/${service}${pathOf(task!, submission)}`, {...options, body: task!, headers});
};

const send = async (fleet: Fleet, submission: RecordedSubmission): Promise<CallerResult> => {
	const {identifier, service, tasks, instance, deadlineMilliseconds, callerTimeoutMilliseconds, agent, idempotencyKey} = submission;
	const address = submission.address ?? fleet.callersOf(instance);
	const options: CallOptions = {...(callerTimeoutMilliseconds !== undefined && {timeoutMilliseconds: callerTimeoutMilliseconds}), ...(agent && {agent})};
	if ((identifier === '' && tasks.length === 1) || idempotencyKey !== undefined) {
		return sendSingle(address, submission, options);
	}

	const body = JSON.stringify({
		service, ...(deadlineMilliseconds !== undefined && {deadlineMilliseconds}), tasks: tasks.map(task => ({path: pathOf(task, submission), body: task})),
	});
	if (identifier === '') {
		return submitAsCaller(address, 'POST', '/v1/jobs', {...options, body});
	}

	return submitAsCaller(address, 'PUT', `/v1/jobs/${encodeURIComponent(identifier)}`, {...options, body});
};

/**
Sends a submission as a caller and records what came back.
*/
export const recordSubmission = async (fleet: Fleet, history: History, submission: RecordedSubmission): Promise<CallerOperation> => {
	const {identifier, tasks, isIdempotent = false, answerBytes = 0} = submission;
	const sentAt = Date.now();
	const {outcome, status, text, isCut} = await send(fleet, submission);
	const operation: CallerOperation = {
		identifier, tasks, sentAt, endedAt: Date.now(), outcome, status, text, isCut, isDisturbed: submission.isDisturbed?.() ?? false, isIdempotent, answerBytes,
	};
	history.operations.push(operation);
	return operation;
};

/**
Adds the starts that the endpoints saw to a history.
*/
export const collectStarts = (fleet: Fleet, history: History): void => {
	for (const {standIn, address} of fleet.endpoints) {
		history.starts.push(...standIn.starts().map(start => ({...start, endpoint: address})));
	}
};

/**
Looks at a job as a caller, or cancels it, and records the answer if there is one yet.
*/
export const recordInspection = async (fleet: Fleet, history: History, inspection: {
	readonly method: 'GET' | 'DELETE';
	readonly instance: string;
	readonly identifier: string;
	readonly tasks: readonly string[];
}): Promise<void> => {
	const {method, instance, identifier, tasks} = inspection;
	const sentAt = Date.now();
	const {outcome, status, text, isCut} = await submitAsCaller(fleet.callersOf(instance), method, `/v1/jobs/${encodeURIComponent(identifier)}`, {timeoutMilliseconds: 5000});
	if (status !== stillRunning) {
		history.operations.push({
			identifier, tasks, sentAt, endedAt: Date.now(), outcome, status, text, isCut, isDisturbed: true,
		});
	}
};
