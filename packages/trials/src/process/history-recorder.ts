import type {Agent} from 'node:http';
import type {CallOptions} from '@galenakeel/stand-ins/connection/http-json.js';
import {submitAsCaller, type CallerResult} from '../request/caller.js';
import type {CallerOperation, History} from '../request/history.js';
import type {Fleet} from './fleet.js';

/**
A submission to send and record.
*/
export type RecordedSubmission = {
	/** Identifier of a job, or the empty string: one task is then sent as a single request, several as a job whose identifier the daemon mints. */
	readonly identifier: string;
	readonly service: string;
	/** Names of the tasks; a single request has one. */
	readonly tasks: readonly string[];
	readonly runMilliseconds: number;
	/** Instance through which the submission goes. */
	readonly instance: string;
	readonly deadlineMilliseconds?: number;
	/** Idempotency key. The submission is then sent as a single request, although it has an identifier. */
	readonly idempotencyKey?: string;
	readonly isIdempotent?: boolean;
	/** Length in bytes to which each task's answer is padded. */
	readonly answerBytes?: number;
	/** Time after which the caller stops waiting for the answer. */
	readonly callerTimeoutMilliseconds?: number;
	/** Address to send to instead of the instance's own, such as that of the load balancer. */
	readonly address?: string;
	/** HTTP agent that keeps the caller's connections open between requests. */
	readonly agent?: Agent;
	/** Called when the operation has ended; returns whether its daemon was killed or frozen in the meantime. */
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
Sends a submission as a caller and records its outcome in the history.
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
Adds the task starts that the endpoints recorded to a history.
*/
export const collectStarts = (fleet: Fleet, history: History): void => {
	for (const {standIn, address} of fleet.endpoints) {
		history.starts.push(...standIn.starts().map(start => ({...start, endpoint: address})));
	}
};

/**
Queries (`GET`) or cancels (`DELETE`) a job as a caller. The answer is recorded unless the job is still running.
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
