import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import type {Task} from '@galenakeel/model/request/task.js';
import {z} from 'zod';
import {collectBody, endToEndHeaders, headerListOf} from './http-encoding.js';

const headerText = (request: IncomingMessage, name: string): string => {
	const value = request.headers[name];
	return (Array.isArray(value) ? value[0] : value) ?? '';
};

/**
The header fields of a request that the dispatcher reads.
*/
export type CallerHeaders = {
	readonly team: string;
	readonly kind: string;
	readonly deadlineMilliseconds: number | undefined;
	readonly idempotencyKey: string;
	readonly traceparent: string;
};

const maximumDeadlineMilliseconds = 3_600_000;

/**
Reads the header fields that are meant for the dispatcher.

@throws A fault of kind `MalformedRequest` when the deadline is not an integer from 1 to `maximumDeadlineMilliseconds`.
*/
export const readCallerHeaders = (request: IncomingMessage): CallerHeaders => {
	const deadline = headerText(request, 'galenakeel-deadline-milliseconds');
	const deadlineMilliseconds = deadline === '' ? undefined : Number(deadline);
	if (deadlineMilliseconds !== undefined && !(Number.isSafeInteger(deadlineMilliseconds) && deadlineMilliseconds > 0 && deadlineMilliseconds <= maximumDeadlineMilliseconds)) {
		throw createFault(FaultKind.MalformedRequest, `the field galenakeel-deadline-milliseconds is "${deadline}", not a whole number from 1 to ${maximumDeadlineMilliseconds}`);
	}

	return {
		team: headerText(request, 'galenakeel-team'),
		kind: headerText(request, 'galenakeel-kind'),
		deadlineMilliseconds,
		idempotencyKey: headerText(request, 'idempotency-key').replaceAll('"', ''),
		traceparent: headerText(request, 'traceparent'),
	};
};

const declaredLength = (request: IncomingMessage): number => Number(request.headers['content-length'] ?? 0);

const assertLength = (request: IncomingMessage, limitBytes: number): void => {
	if (declaredLength(request) > limitBytes) {
		throw createFault(FaultKind.TooLarge, `the body of ${declaredLength(request)} bytes is above the limit of ${limitBytes} bytes`);
	}
};

const continueBody = async function * (chunks: readonly Uint8Array[], rest: IncomingMessage, limitBytes: number): AsyncGenerator<Uint8Array> {
	let bytes = 0;
	yield * chunks;
	for await (const chunk of rest as AsyncIterable<Uint8Array>) {
		bytes += chunk.byteLength;
		if (bytes > limitBytes) {
			throw createFault(FaultKind.TooLarge, `the body is above the limit of ${limitBytes} bytes`);
		}

		yield chunk;
	}
};

const noBody = new Uint8Array();

/**
Reads the body of a single request: buffered up to `bufferedBodyBytes`, streamed when it is longer.

@throws A fault of kind `TooLarge` when the declared length is above `requestBytes`; a streamed body without a declared length fails with the same fault while it is read.
*/
export const readRelayBody = async (request: IncomingMessage, limits: {bufferedBodyBytes: number; requestBytes: number}): Promise<Uint8Array | Readable> => {
	assertLength(request, limits.requestBytes);
	if (request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined) {
		return noBody;
	}

	const {chunks, isWhole} = await collectBody(request, limits.bufferedBodyBytes);
	return isWhole ? Buffer.concat(chunks) : Readable.from(continueBody(chunks, request, limits.requestBytes));
};

/**
Builds the task of a single request, without its body.
*/
export const readTask = (request: IncomingMessage, path: string, kind: string): Omit<Task, 'body'> => ({
	method: request.method!, path, headers: endToEndHeaders(headerListOf(request.rawHeaders)), kind,
});

const headerName = z.string().regex(/^[\w!#$%'*+.^`\|~\-]+$/v, 'must be the name of a header field');
const headerValue = z.string().regex(/^[\t\u0020-\u007E\u0080-\u00FF]*$/v, 'must be text without control characters');

const taskSchema = z.strictObject({
	method: z.string().regex(/^[A-Z]+$/v, 'must be an HTTP method in capitals').default('POST'),
	path: z.string().regex(/^\/[\u0021-\u007E]*$/v, 'must begin with a slash and hold no spaces').default('/'),
	kind: z.string().max(100).default(''),
	headers: z.record(headerName, headerValue).default({}),
	body: z.string().optional(),
	bodyBase64: z.base64().optional(),
});

const jobSchema = z.strictObject({
	service: z.string(),
	team: z.string().default(''),
	deadlineMilliseconds: z.number().int().positive().max(maximumDeadlineMilliseconds).optional(),
	tasks: z.array(taskSchema).min(1),
});

/**
A job as submitted by the caller.
*/
export type JobRequest = {
	readonly service: string;
	readonly team: string;
	readonly deadlineMilliseconds: number | undefined;
	readonly tasks: readonly Task[];
};

const taskOf = (task: z.infer<typeof taskSchema>): Task => ({
	method: task.method,
	path: task.path,
	kind: task.kind,
	headers: endToEndHeaders(Object.entries(task.headers)),
	body: task.bodyBase64 === undefined ? Buffer.from(task.body ?? '') : Buffer.from(task.bodyBase64, 'base64'),
});

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw createFault(FaultKind.MalformedRequest, `the body is not JSON: ${error instanceof Error ? error.message : String(error)}`);
	}
};

/**
Reads and validates a job.

@throws A fault of kind `MalformedRequest` that lists up to 10 invalid fields, or of kind `TooLarge`.
*/
export const readJob = async (request: IncomingMessage, limits: {jobBytes: number; tasksInJob: number}): Promise<JobRequest> => {
	assertLength(request, limits.jobBytes);
	const {chunks, isWhole} = await collectBody(request, limits.jobBytes);
	if (!isWhole) {
		throw createFault(FaultKind.TooLarge, `the body is above the limit of ${limits.jobBytes} bytes`);
	}

	const result = jobSchema.safeParse(parseJson(Buffer.concat(chunks).toString()));
	if (!result.success) {
		const places = result.error.issues.slice(0, 10).map(issue => `${issue.path.join('.') || 'the job'}: ${issue.message}`);
		throw createFault(FaultKind.MalformedRequest, `the job is malformed: ${places.join('; ')}`);
	}

	if (result.data.tasks.length > limits.tasksInJob) {
		throw createFault(FaultKind.TooLarge, `the job has ${result.data.tasks.length} tasks, above the limit of ${limits.tasksInJob}`);
	}

	return {
		service: result.data.service, team: result.data.team, deadlineMilliseconds: result.data.deadlineMilliseconds, tasks: result.data.tasks.map(task => taskOf(task)),
	};
};
