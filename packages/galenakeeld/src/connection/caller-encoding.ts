import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {createFault, FaultKind, remedies} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {
	HeaderList, SubmissionAnswer, Task, TaskAnswer,
} from '@galenakeel/model/request/task.js';
import {z} from 'zod';
import type {StreamedTaskAnswer} from '../request/run-task.js';
import {
	collectBody, endToEndHeaders, headerListOf, headersForCaller,
} from './http-encoding.js';

/**
What a caller asks for.
*/
export enum CallerRequestKind {
	/** A request for an endpoint of a service. */
	Relay = 'relay',
	/** A new minted identifier. */
	Mint = 'mint',
	/** A job under a minted identifier. */
	SubmitNew = 'submit-new',
	/** A job under an identifier that the caller has. */
	Submit = 'submit',
	/** The state of a job. */
	Show = 'show',
	/** The end of a job. */
	Cancel = 'cancel',
}

/**
A caller's request, told apart by its method and path.
*/
export type CallerRoute
	= | {readonly kind: CallerRequestKind.Relay; readonly service: string; readonly path: string}
		| {readonly kind: CallerRequestKind.Mint | CallerRequestKind.SubmitNew}
		| {readonly kind: CallerRequestKind.Submit | CallerRequestKind.Show | CallerRequestKind.Cancel; readonly identifier: string};

/**
A problem on its way to a caller (RFC 9457).
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
	[FaultKind.UnknownService]: 404,
	[FaultKind.BadIdentifier]: 400,
	[FaultKind.IdentifierMismatch]: 422,
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
	[FaultKind.Internal]: 500,
};

const servicePath = /^\/v1\/services\/(?<service>[\w.\-]{1,100})(?<path>\/.*)?$/v;
const jobPath = /^\/v1\/jobs\/(?<identifier>[^\/?]+)$/v;

const parseJobRoute = (method: string, identifier: string): CallerRoute => {
	switch (method) {
		case 'PUT': {
			return {kind: CallerRequestKind.Submit, identifier};
		}

		case 'GET': {
			return {kind: CallerRequestKind.Show, identifier};
		}

		case 'DELETE': {
			return {kind: CallerRequestKind.Cancel, identifier};
		}

		default: {
			throw createFault(FaultKind.MalformedRequest, `a job has no method ${method}; it has PUT, GET and DELETE`);
		}
	}
};

/**
Tells what a caller asks for.

@throws A fault of kind `MalformedRequest` when the path or method means nothing here.

@example
```
parseCallerRoute('PUT', '/v1/jobs/sheet-2041'); // => {kind: CallerRequestKind.Submit, identifier: 'sheet-2041'}
```
*/
export const parseCallerRoute = (method: string, url: string): CallerRoute => {
	const relayed = servicePath.exec(url)?.groups;
	if (relayed) {
		return {kind: CallerRequestKind.Relay, service: relayed.service!, path: relayed.path ?? '/'};
	}

	const job = jobPath.exec(url)?.groups;
	if (job) {
		return parseJobRoute(method, decodeIdentifier(job.identifier!));
	}

	if (method === 'POST' && url === '/v1/job-identifiers') {
		return {kind: CallerRequestKind.Mint};
	}

	if (method === 'POST' && url === '/v1/jobs') {
		return {kind: CallerRequestKind.SubmitNew};
	}

	throw createFault(FaultKind.MalformedRequest, `${method} ${url} is not a path of the dispatcher; requests go to /v1/services/SERVICE/…, jobs to /v1/jobs`);
};

const decodeIdentifier = (text: string): string => {
	try {
		return decodeURIComponent(text);
	} catch {
		throw createFault(FaultKind.BadIdentifier, `"${text}" is not percent-encoded text`);
	}
};

const headerText = (request: IncomingMessage, name: string): string => {
	const value = request.headers[name];
	return (Array.isArray(value) ? value[0] : value) ?? '';
};

/**
What a caller says about a request in header fields.
*/
export type CallerTerms = {
	readonly team: string;
	readonly kind: string;
	readonly deadlineMilliseconds: number | undefined;
	readonly idempotencyKey: string;
	readonly traceparent: string;
};

const maximumDeadlineMilliseconds = 3_600_000;

/**
Reads the caller's terms from the header.

@throws A fault of kind `MalformedRequest` when the deadline is not a whole number of milliseconds.
*/
export const readTerms = (request: IncomingMessage): CallerTerms => {
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
Reads the body of a single request: whole when it is short, otherwise as a stream.
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
Reads the task of a single request, without its body.
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
A job as the caller wrote it.
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
Reads a job.

@throws A fault of kind `MalformedRequest` that names the faulty places, or `TooLarge`.
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

const outcomeField = 'galenakeel-outcome';
const identifierField = 'galenakeel-job';

/**
The field in which a caller gets the name of a single request that has no identifier.
*/
export const requestField = 'galenakeel-request';

/**
Writes a JSON answer with its length.
*/
export const writeJson = (response: ServerResponse, status: number, value: unknown, fields: Readonly<Record<string, string>> = {}): void => {
	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...fields});
	response.end(body);
};

const retryAfterFields = (milliseconds: number | undefined): Record<string, string> =>
	milliseconds === undefined ? {} : {'retry-after': String(Math.max(1, Math.ceil(milliseconds / 1000)))};

/**
Describes an answer that is not whole as a problem.
*/
export const problemOf = (answer: Pick<TaskAnswer, 'fault' | 'outcome' | 'detail'> & {readonly retryAfterMilliseconds?: number}): Problem => ({
	fault: answer.fault ?? FaultKind.Internal,
	outcome: answer.outcome,
	detail: answer.detail ?? '',
	...(answer.retryAfterMilliseconds !== undefined && {retryAfterMilliseconds: answer.retryAfterMilliseconds}),
});

/**
Writes a problem (RFC 9457) with its outcome and remedy.
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
Encodes a problem as a whole HTTP/1.1 response, for a connection whose request could not be parsed.
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

const bodiless: ReadonlySet<number> = new Set([204, 304]);

const lengthFields = (answer: TaskAnswer, method: string): HeaderList => {
	if (method === 'HEAD') {
		const length = contentLengthOf(answer.headers);
		return length === undefined ? [] : [['content-length', length]];
	}

	return bodiless.has(answer.status) ? [] : [['content-length', String(answer.body.byteLength)]];
};

/**
Writes the answer of an endpoint to the caller.

A body that is too long to be held is passed on as it comes, and its outcome follows in a trailer. When the endpoint breaks off, the caller's connection is destroyed, so that a part is never taken for the whole.
*/
export const writeTaskAnswer = async (response: ServerResponse, answer: StreamedTaskAnswer, method: string, own: HeaderList = []): Promise<void> => {
	if (!answer.rest) {
		response.writeHead(answer.status, headersForCaller(answer.headers, [[outcomeField, answer.outcome], ...own, ...lengthFields(answer, method)]));
		response.end(answer.body);
		return;
	}

	response.writeHead(answer.status, headersForCaller(answer.headers, [['trailer', outcomeField], ...own]));
	response.write(answer.body);
	response.addTrailers({[outcomeField]: answer.outcome});
	try {
		await pipeline(answer.rest, response);
	} catch {
		response.destroy();
	}
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
Writes the answer to a job: one body with its length, or a problem that counts the outcomes of the tasks.
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
