import {submitAsCaller, type CallerResult} from '../request/caller.js';
import type {CallerOperation, History} from '../request/history.js';
import type {Fleet} from './fleet.js';

/**
A submission to be recorded.
*/
export type RecordedSubmission = {
	/** Identifier of a job; the empty string for a single request without one. */
	readonly identifier: string;
	readonly service: string;
	/** Names of the tasks; a single request has one. */
	readonly tasks: readonly string[];
	readonly runMilliseconds: number;
	/** Instance through which the submission goes. */
	readonly instance: string;
	readonly deadlineMilliseconds?: number;
	/** Tells, once the operation has ended, whether its daemon was killed or frozen meanwhile. */
	readonly isDisturbed?: () => boolean;
};

const pathOf = (task: string, runMilliseconds: number): string => `/sheet?task=${task}&run=${runMilliseconds}`;

const send = async (fleet: Fleet, submission: RecordedSubmission): Promise<CallerResult> => {
	const {identifier, service, tasks, runMilliseconds, instance, deadlineMilliseconds} = submission;
	const address = fleet.callersOf(instance);
	if (identifier === '') {
		const [task] = tasks as [string];
		const headers: Record<string, string> = deadlineMilliseconds === undefined ? {} : {'galenakeel-deadline-milliseconds': String(deadlineMilliseconds)};
		return submitAsCaller(address, 'POST', `/v1/services/${service}${pathOf(task, runMilliseconds)}`, {body: task, headers});
	}

	const body = JSON.stringify({
		service, ...(deadlineMilliseconds !== undefined && {deadlineMilliseconds}), tasks: tasks.map(task => ({path: pathOf(task, runMilliseconds), body: task})),
	});
	return submitAsCaller(address, 'PUT', `/v1/jobs/${encodeURIComponent(identifier)}`, {body});
};

/**
Sends a submission as a caller and records what came back.
*/
export const recordSubmission = async (fleet: Fleet, history: History, submission: RecordedSubmission): Promise<CallerOperation> => {
	const sentAt = Date.now();
	const {outcome, status, text, isCut} = await send(fleet, submission);
	const operation: CallerOperation = {
		identifier: submission.identifier, tasks: submission.tasks, sentAt, endedAt: Date.now(), outcome, status, text, isCut, isDisturbed: submission.isDisturbed?.() ?? false,
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
