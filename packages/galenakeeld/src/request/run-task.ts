import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import type {Readable} from 'node:stream';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {RecordStepKind} from '@galenakeel/model/process/request-record.js';
import {
	createFault, detailOf, FaultKind, isFault,
} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {HeaderList, Task, TaskAnswer} from '@galenakeel/model/request/task.js';
import type {EndpointAnswer, EndpointRequest} from '../connection/endpoint-exchange.js';
import type {TaskRequirements} from '../process/service-dispatcher.js';
import type {SlotGrant} from '../process/slot-ledger.js';
import type {Endpoint, ServiceVersion} from '../version/service-version.js';
import {SpanName} from '../process/span-name.js';
import type {NoteStep} from './request-observer.js';
import {createStartRecord, type StartRecord} from './start-record.js';
import type {TraceScope} from './trace-scope.js';

const maximumAttempts = 4;
const firstServerError = 500;

/**
How one attempt at a task ended; input to the endpoint guards and the run-time estimates.
*/
export type AttemptReport = {
	readonly endpoint: Endpoint;
	readonly kind: string;
	readonly durationMilliseconds: number;
	readonly isSuccess: boolean;
	/** Why there is no complete answer. */
	readonly fault?: FaultKind;
};

/**
The state and functions of the process that a task uses.
*/
export type TaskContext = {
	/** The document version that applies to the request from start to end. */
	readonly version: ServiceVersion;
	readonly team: string;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
	readonly signal?: AbortSignal;
	readonly withSlot: <Result>(demand: TaskRequirements, use: (grant: SlotGrant) => Promise<Result>) => Promise<Result>;
	readonly send: (address: string, request: EndpointRequest) => Promise<EndpointAnswer>;
	readonly report: (attempt: AttemptReport) => void;
	/** Returns whether the retry budget allows an idempotent task to be sent again, and if so deducts the retry. */
	readonly mayRetry: () => boolean;
	/** Called once, just before the first byte of the task is sent. */
	readonly onFirstStart: () => void;
	/** Records each step of the task. */
	readonly note: NoteStep;
	/** The parent of the task's spans in the request's trace. */
	readonly trace: TraceScope;
};

/**
A task's answer, whose body may continue in a stream after the bytes already read.
*/
export type StreamedTaskAnswer = TaskAnswer & {readonly rest?: Readable};

type RunnableTask = Omit<Task, 'body'> & {readonly body: Uint8Array | Readable};

/** Statuses that report that an endpoint could not serve the request (RFC 9110, sections 15.6.3 to 15.6.5). */
const retriableStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

const isResendable = (task: RunnableTask, context: TaskContext): boolean => context.version.document.idempotent && task.body instanceof Uint8Array;

const isRetriableAnswer = (answer: StreamedTaskAnswer, task: RunnableTask, context: TaskContext): boolean =>
	retriableStatuses.has(answer.status) && !answer.rest && isResendable(task, context) && context.mayRetry();

const isRetriable = (record: StartRecord, task: RunnableTask, context: TaskContext, fault: FaultKind): boolean => {
	if (!record.hasStarted()) {
		return fault === FaultKind.EndpointUnreachable;
	}

	return isResendable(task, context) && (fault === FaultKind.EndpointBroken || fault === FaultKind.EndpointTimeout) && context.mayRetry();
};

const traceparentField = 'traceparent';

/**
Replaces the trace context of a task with that of the span that sends it.
*/
const headersOf = (task: RunnableTask, {traceparent}: TraceScope): HeaderList => traceparent === ''
	? task.headers
	: [...task.headers.filter(([name]) => name.toLowerCase() !== traceparentField), [traceparentField, traceparent]];

const attemptTask = async (task: RunnableTask, context: TaskContext, grant: SlotGrant, record: StartRecord): Promise<StreamedTaskAnswer> => {
	const {endpoint} = grant;
	const startedAt = performance.now();
	const span = context.trace.begin(SpanName.EndpointExchange, {endpoint: endpoint.address});
	const report = (isSuccess: boolean, fault?: FaultKind): void => {
		const durationMilliseconds = performance.now() - startedAt;
		context.report({
			endpoint, kind: task.kind, durationMilliseconds, isSuccess, ...(fault && {fault}),
		});
		context.note({
			kind: fault ? RecordStepKind.AttemptFailed : RecordStepKind.Answered, endpoint: endpoint.address, milliseconds: durationMilliseconds, ...(fault && {fault}),
		});
		span.end({}, fault);
	};

	try {
		const answer = await context.send(endpoint.address, {
			method: task.method,
			path: task.path,
			headers: headersOf(task, span),
			body: task.body,
			connections: endpoint.connections,
			timeoutMilliseconds: Math.min(context.version.document.timeoutMilliseconds, Math.max(1, context.deadlineAt - startedAt)),
			beforeFirstByte() {
				record.start();
				context.note({kind: RecordStepKind.Sent, endpoint: endpoint.address});
			},
		});
		report(answer.status < firstServerError);
		return {
			outcome: Outcome.Complete, ...answer, endpoint: endpoint.address, attempts: record.starts(),
		};
	} catch (error) {
		report(false, isFault(error) ? error.name : FaultKind.Internal);
		throw error;
	}
};

/**
Resolves as soon as the answer can be passed on; the slot stays occupied until the body has been streamed or its stream is closed.
*/
const attemptOnFreeSlot = async (task: RunnableTask, context: TaskContext, demand: TaskRequirements, record: StartRecord): Promise<StreamedTaskAnswer> => {
	const answered = createDeferred<StreamedTaskAnswer>();
	const waitStartedAt = performance.now();
	const waitSpan = context.trace.begin(SpanName.SlotWait);
	const attempt = async (): Promise<void> => {
		try {
			await context.withSlot(demand, async grant => {
				waitSpan.end();
				context.note({kind: RecordStepKind.SlotGranted, endpoint: grant.endpoint.address, milliseconds: performance.now() - waitStartedAt});
				const answer = await attemptTask(task, context, grant, record);
				answered.resolve(answer);
				if (answer.rest && !answer.rest.closed) {
					await once(answer.rest, 'close');
				}
			});
		} catch (error) {
			// Has no effect on a span that has already ended.
			waitSpan.end();
			answered.reject(error);
		}
	};

	void attempt();
	return answered.promise;
};

const answerOf = (error: unknown, record: StartRecord): TaskAnswer => {
	const fault = isFault(error) ? error.name : FaultKind.Internal;
	return {
		outcome: record.hasStarted() ? Outcome.OutcomeUnknown : Outcome.NotRun,
		status: 0,
		headers: [],
		body: new Uint8Array(),
		endpoint: '',
		fault,
		detail: detailOf(error),
		attempts: record.starts(),
	};
};

/**
Runs one task: waits for a slot and sends the task. A failed attempt is retried only if the task can't have started or its service is declared idempotent.

@returns The answer of the endpoint, or the outcome with the reason; never throws.

@example
```
const answer = await runTask(task, {version, team: 'payroll', deadlineAt: performance.now() + 5000, …});
```
*/
export const runTask = async (task: RunnableTask, context: TaskContext): Promise<StreamedTaskAnswer> => {
	const record = createStartRecord({
		isIdempotent: context.version.document.idempotent,
		deadlineAt: context.deadlineAt,
		onFirstStart: context.onFirstStart,
		...(context.signal && {signal: context.signal}),
	});
	if (context.version.endpoints.length === 0) {
		return answerOf(createFault(FaultKind.NoEndpoint, `the document of "${context.version.document.service}" names no endpoint`), record);
	}

	let demand: TaskRequirements = {
		kind: task.kind, team: context.team, deadlineAt: context.deadlineAt, ...(context.signal && {signal: context.signal}),
	};
	for (let attempt = 1; ; attempt++) {
		const isLast = attempt === maximumAttempts;
		try {
			const answer = await attemptOnFreeSlot(task, context, demand, record);
			if (isLast || !isRetriableAnswer(answer, task, context)) {
				return answer;
			}

			demand = {...demand, avoidedEndpoint: answer.endpoint};
			context.note({kind: RecordStepKind.Retried});
		} catch (error) {
			const fault = isFault(error) ? error.name : FaultKind.Internal;
			if (isLast || !isRetriable(record, task, context, fault)) {
				return answerOf(error, record);
			}

			context.note({kind: RecordStepKind.Retried});
		}
	}
};
