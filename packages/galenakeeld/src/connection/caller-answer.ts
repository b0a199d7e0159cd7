import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {FaultKind, remedies} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {HeaderList, SubmissionAnswer, TaskAnswer} from '@galenakeel/model/request/task.js';
import type {StreamedTaskAnswer} from '../request/run-task.js';
import {endToEndHeaders, headersForCaller} from './http-encoding.js';

/**
A problem to be sent to a caller (RFC 9457).
*/
export type Problem = {
	readonly fault: FaultKind;
	readonly outcome: Outcome;
	readonly detail: string;
	readonly identifier?: string;
	readonly retryAfterMilliseconds?: number;
};

const statusOf: Readonly<Record<FaultKind, number>> = {
	[FaultKind.MalformedRequest]: 400,
	[FaultKind.TooLarge]: 413,
	[FaultKind.HttpVersion]: 505,
	[FaultKind.UnknownService]: 404,
	[FaultKind.BadIdentifier]: 400,
	[FaultKind.IdentifierMismatch]: 422,
	[FaultKind.UnknownIdentifier]: 404,
	[FaultKind.NoEndpoint]: 503,
	[FaultKind.NeverRunnable]: 422,
	[FaultKind.Overloaded]: 503,
	[FaultKind.DeadlinePassed]: 504,
	[FaultKind.Cancelled]: 409,
	[FaultKind.EndpointTimeout]: 504,
	[FaultKind.EndpointBroken]: 502,
	[FaultKind.EndpointUnreachable]: 503,
	[FaultKind.HolderUnreachable]: 502,
	[FaultKind.ClaimUnavailable]: 503,
	[FaultKind.AnswerDiscarded]: 410,
	[FaultKind.Leaving]: 503,
	[FaultKind.InvalidConfiguration]: 500,
	[FaultKind.DocumentConflict]: 409,
	[FaultKind.PlatformUnavailable]: 503,
	[FaultKind.InstanceUnreachable]: 502,
	[FaultKind.UnsupportedJob]: 501,
	[FaultKind.Internal]: 500,
};

const outcomeField = 'galenakeel-outcome';
const identifierField = 'galenakeel-job';

/**
The header field that gives a caller the generated identifier of a single request without an `Idempotency-Key`.
*/
export const requestField = 'galenakeel-request';

/**
Writes a JSON response with a `Content-Length` field.
*/
export const writeJson = (response: ServerResponse, status: number, value: unknown, fields: Readonly<Record<string, string>> = {}): void => {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...fields});
	response.end(body);
};

const retryAfterFields = (milliseconds: number | undefined): Record<string, string> =>
	milliseconds === undefined ? {} : {'retry-after': String(Math.max(1, Math.ceil(milliseconds / 1000)))};

/**
Converts an answer whose outcome is not `Complete` to a problem.
*/
export const problemOf = (answer: Pick<TaskAnswer, 'fault' | 'outcome' | 'detail'> & {readonly retryAfterMilliseconds?: number}): Problem => ({
	fault: answer.fault ?? FaultKind.Internal,
	outcome: answer.outcome,
	detail: answer.detail ?? '',
	...(answer.retryAfterMilliseconds !== undefined && {retryAfterMilliseconds: answer.retryAfterMilliseconds}),
});

/**
Writes a problem (RFC 9457) with its status, outcome and remedy.
*/
export const writeProblem = (response: ServerResponse, problem: Problem): void => {
	const status = statusOf[problem.fault];
	writeJson(response, status, {
		type: `urn:galenakeel:fault:${problem.fault}`,
		title: problem.fault.replaceAll('-', ' '),
		status,
		detail: problem.detail,
		outcome: problem.outcome,
		remedy: remedies[problem.fault],
		...(problem.identifier !== undefined && {job: problem.identifier}),
	}, {
		'content-type': 'application/problem+json',
		[outcomeField]: problem.outcome,
		...retryAfterFields(problem.retryAfterMilliseconds),
		...(problem.identifier !== undefined && {[identifierField]: problem.identifier}),
	});
};

/**
Encodes a problem as a complete HTTP/1.1 response for a connection whose request could not be parsed, for which Node gives no response object.
*/
export const encodeProblemResponse = (status: number, detail: string): string => {
	const fault = FaultKind.MalformedRequest;
	const body = JSON.stringify({
		type: `urn:galenakeel:fault:${fault}`, title: 'malformed request', status, detail, outcome: Outcome.NotRun, remedy: remedies[fault],
	});
	const head = [
		`HTTP/1.1 ${status} Bad Request`,
		'content-type: application/problem+json',
		`${outcomeField}: ${Outcome.NotRun}`,
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
	];
	return `${head.join('\r\n')}\r\n\r\n${body}`;
};

const contentLengthOf = (headers: HeaderList): string | undefined => headers.find(([name]) => name.toLowerCase() === 'content-length')?.[1];

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

const lengthFields = (answer: TaskAnswer, method: string): HeaderList => {
	if (method === 'HEAD') {
		const length = contentLengthOf(answer.headers);
		return length === undefined ? [] : [['content-length', length]];
	}

	return bodilessStatuses.has(answer.status) ? [] : [['content-length', String(answer.body.byteLength)]];
};

/**
Returns the header fields of a streamed answer. Its outcome follows in a trailer. HTTP/1.0 has neither trailers nor chunked encoding, so such a caller gets the outcome and the length in the header instead; without a length it could not detect a truncated body, and `undefined` is returned.
*/
const streamedFields = (answer: StreamedTaskAnswer, hasChunks: boolean): HeaderList | undefined => {
	if (hasChunks) {
		return [['trailer', outcomeField]];
	}

	const length = contentLengthOf(answer.headers);
	return length === undefined ? undefined : [[outcomeField, answer.outcome], ['content-length', length]];
};

const writeStreamedAnswer = async (response: ServerResponse, answer: StreamedTaskAnswer, rest: Readable, additionalHeaders: HeaderList): Promise<void> => {
	const hasChunks = response.req.httpVersionMinor > 0;
	const fields = streamedFields(answer, hasChunks);
	if (!fields) {
		rest.destroy();
		writeProblem(response, {fault: FaultKind.HttpVersion, outcome: Outcome.Failed, detail: 'the task ran, but its answer is too long to be held and its length is not known'});
		return;
	}

	response.writeHead(answer.status, headersForCaller(answer.headers, [...fields, ...additionalHeaders]));
	response.write(answer.body);
	if (hasChunks) {
		response.addTrailers({[outcomeField]: answer.outcome});
	}

	try {
		await pipeline(rest, response);
	} catch {
		response.destroy();
	}
};

/**
Writes the response of an endpoint to the caller.

A body that is too long to be buffered is streamed. When the endpoint's connection breaks, the caller's connection is destroyed, so that the caller can't mistake a truncated body for a complete one.
*/
export const writeTaskAnswer = async (response: ServerResponse, answer: StreamedTaskAnswer, method: string, additionalHeaders: HeaderList = []): Promise<void> => {
	if (answer.rest) {
		await writeStreamedAnswer(response, answer, answer.rest, additionalHeaders);
		return;
	}

	response.writeHead(answer.status, headersForCaller(answer.headers, [[outcomeField, answer.outcome], ...additionalHeaders, ...lengthFields(answer, method)]));
	response.end(answer.body);
};

const encodeTaskAnswer = (answer: TaskAnswer): Record<string, unknown> => {
	const body = Buffer.from(answer.body);
	const text = body.toString();
	return {
		outcome: answer.outcome,
		status: answer.status,
		headers: Object.fromEntries(endToEndHeaders(answer.headers)),
		...(Buffer.byteLength(text) === body.byteLength && body.equals(Buffer.from(text)) ? {body: text} : {bodyBase64: body.toString('base64')}),
		...(answer.fault && {fault: answer.fault, detail: answer.detail}),
	};
};

/**
Writes the answer to a job: one JSON body with the answers of all tasks, or a problem that lists them.
*/
export const writeJobAnswer = (response: ServerResponse, identifier: string, answer: SubmissionAnswer): void => {
	const tasks = answer.answers.map(task => encodeTaskAnswer(task));
	if (answer.outcome === Outcome.Complete) {
		writeJson(response, 200, {job: identifier, outcome: answer.outcome, tasks}, {[outcomeField]: answer.outcome, [identifierField]: identifier});
		return;
	}

	const fault = answer.fault ?? FaultKind.Internal;
	const status = statusOf[fault];
	writeJson(response, status, {
		type: `urn:galenakeel:fault:${fault}`,
		title: fault.replaceAll('-', ' '),
		status,
		detail: answer.detail ?? '',
		outcome: answer.outcome,
		remedy: remedies[fault],
		job: identifier,
		tasks,
	}, {
		'content-type': 'application/problem+json', [outcomeField]: answer.outcome, [identifierField]: identifier, ...retryAfterFields(answer.retryAfterMilliseconds),
	});
};
