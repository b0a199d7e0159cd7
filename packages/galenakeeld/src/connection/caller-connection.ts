import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	createFault, detailOf, FaultKind, isFault,
} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer} from '@galenakeel/model/request/task.js';
import type {JobView} from '../request/inspect-submission.js';
import type {RelayedRequest} from '../request/relay-request.js';
import type {StreamedTaskAnswer} from '../request/run-task.js';
import type {Observe} from '../request/request-observer.js';
import {ObservedKind} from '../process/observed-kind.js';
import type {OpenTrace} from '../request/trace-scope.js';
import {SpanName} from '../process/span-name.js';
import {
	problemOf, requestField, writeJobAnswer, writeJson, writeProblem, writeTaskAnswer,
} from './caller-answer.js';
import {
	readJob, readRelayBody, readTask, readCallerHeaders, type JobRequest,
} from './caller-request.js';
import {CallerRequestKind, parseCallerRoute, type CallerRoute} from './caller-route.js';

/**
A request of a caller with its response.
*/
export type CallerExchange = {readonly request: IncomingMessage; readonly response: ServerResponse};

/**
The dependencies of a caller's connection that live as long as the process.
*/
export type CallerRun = {
	/** Relays a single request without an identifier to an endpoint; never throws. */
	readonly relay: (request: RelayedRequest) => Promise<StreamedTaskAnswer & {readonly retryAfterMilliseconds?: number}>;
	/** Derives the identifier of the submission for a request with an `Idempotency-Key`. */
	readonly identifierOfKey: (service: string, key: string) => string;
	readonly limits: {readonly bufferedBodyBytes: number; readonly requestBytes: number; readonly jobBytes: number; readonly tasksInJob: number};
	readonly mint: () => string;
	readonly submit: (submission: Submission) => Promise<SubmissionAnswer>;
	/** Returns the state of a job, after cancelling it when `shouldCancel` is true; never throws. */
	readonly inspect: (identifier: string, shouldCancel: boolean) => Promise<JobView>;
	readonly defaultDeadlineMilliseconds: (service: string) => number;
	readonly isLeaving: () => boolean;
	/** Generates an identifier for a single request without an `Idempotency-Key`. */
	readonly createRequestIdentifier: () => string;
	readonly observe: Observe;
	readonly openTrace: OpenTrace;
};

const disconnectSignal = (response: ServerResponse): AbortSignal => {
	const controller = new AbortController();
	response.once('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
};

type RelayRoute = CallerRoute & {readonly kind: CallerRequestKind.Relay};

const answerRelay = async ({request, response}: CallerExchange, route: RelayRoute, run: CallerRun): Promise<void> => {
	const callerHeaders = readCallerHeaders(request);
	const task = {...readTask(request, route.path, callerHeaders.kind), body: await readRelayBody(request, run.limits)};
	if (callerHeaders.idempotencyKey !== '' && !(task.body instanceof Uint8Array)) {
		throw createFault(FaultKind.TooLarge, `a request with an Idempotency-Key is held whole, and its body is above the limit of ${run.limits.bufferedBodyBytes} bytes`);
	}

	const span = run.openTrace(callerHeaders.traceparent).begin(SpanName.CallerRequest, {service: route.service});
	if (callerHeaders.idempotencyKey !== '' && task.body instanceof Uint8Array) {
		const submission: Submission = {
			identifier: run.identifierOfKey(route.service, callerHeaders.idempotencyKey),
			service: route.service,
			team: callerHeaders.team,
			deadlineMilliseconds: callerHeaders.deadlineMilliseconds ?? run.defaultDeadlineMilliseconds(route.service),
			tasks: [{...task, body: task.body}],
			traceparent: span.traceparent,
		};
		const answer = await run.submit(submission);
		span.end({job: submission.identifier, outcome: answer.outcome}, answer.fault);
		await writeSingleAnswer(response, submission, answer, request.method!);
		return;
	}

	const identifier = run.createRequestIdentifier();
	const answer = await run.relay({
		service: route.service,
		team: callerHeaders.team,
		deadlineMilliseconds: callerHeaders.deadlineMilliseconds,
		task,
		signal: disconnectSignal(response),
		observer: run.observe({kind: ObservedKind.Request, identifier, service: route.service}),
		trace: span,
	});
	span.end({request: identifier, outcome: answer.outcome}, answer.fault);
	if (answer.outcome === Outcome.Complete) {
		await writeTaskAnswer(response, answer, request.method!, [[requestField, identifier]]);
	} else {
		response.setHeader(requestField, identifier);
		writeProblem(response, problemOf(answer));
	}
};

const writeSingleAnswer = async (response: ServerResponse, submission: Submission, answer: SubmissionAnswer, method: string): Promise<void> => {
	const [only] = answer.answers;
	if (answer.outcome === Outcome.Complete && only) {
		await writeTaskAnswer(response, only, method);
		return;
	}

	writeProblem(response, {...problemOf(answer), outcome: only?.outcome ?? answer.outcome, identifier: submission.identifier});
};

const submissionOf = (identifier: string, job: JobRequest, exchange: CallerExchange, run: CallerRun): Submission => {
	const callerHeaders = readCallerHeaders(exchange.request);
	return {
		identifier,
		service: job.service,
		team: job.team === '' ? callerHeaders.team : job.team,
		deadlineMilliseconds: job.deadlineMilliseconds ?? callerHeaders.deadlineMilliseconds ?? run.defaultDeadlineMilliseconds(job.service),
		tasks: job.tasks,
		traceparent: callerHeaders.traceparent,
	};
};

const answerJob = async (exchange: CallerExchange, identifier: string | undefined, run: CallerRun): Promise<void> => {
	const job = await readJob(exchange.request, run.limits);
	const submission = submissionOf(identifier ?? run.mint(), job, exchange, run);
	const span = run.openTrace(submission.traceparent).begin(SpanName.CallerRequest, {service: submission.service, job: submission.identifier});
	const answer = await run.submit({...submission, traceparent: span.traceparent});
	span.end({outcome: answer.outcome}, answer.fault);
	writeJobAnswer(exchange.response, submission.identifier, answer);
};

const answerInspection = async ({response}: CallerExchange, identifier: string, shouldCancel: boolean, run: CallerRun): Promise<void> => {
	const view = await run.inspect(identifier, shouldCancel);
	if (view.isAnswered) {
		writeJobAnswer(response, identifier, view.answer);
	} else {
		writeJson(response, 202, {
			job: identifier, state: view.state, tasks: view.tasks, started: view.started, finished: view.finished,
		});
	}
};

const answerExchange = async (exchange: CallerExchange, run: CallerRun): Promise<void> => {
	const {request, response} = exchange;
	const route = parseCallerRoute(request.method!, request.url!);
	switch (route.kind) {
		case CallerRequestKind.Relay: {
			return answerRelay(exchange, route, run);
		}

		case CallerRequestKind.Mint: {
			writeJson(response, 201, {job: run.mint()});
			return undefined;
		}

		case CallerRequestKind.SubmitNew: {
			return answerJob(exchange, undefined, run);
		}

		case CallerRequestKind.Submit: {
			return answerJob(exchange, route.identifier, run);
		}

		case CallerRequestKind.Show: {
			return answerInspection(exchange, route.identifier, false, run);
		}

		case CallerRequestKind.Cancel: {
			return answerInspection(exchange, route.identifier, true, run);
		}
	}
};

const untilClosed = async (response: ServerResponse): Promise<void> => new Promise(resolve => {
	if (response.closed || response.destroyed) {
		resolve();
	} else {
		response.once('close', resolve);
	}
});

/**
Serves one connection of a caller. Requests are handled in order; the next one is read after the response to the previous one is closed.

@param exchanges The requests of the connection in order of arrival; ends when the connection closes.

@example
```
void serveCallerConnection(inbox, run);
```
*/
export const serveCallerConnection = async (exchanges: AsyncIterable<CallerExchange>, run: CallerRun): Promise<void> => {
	for await (const exchange of exchanges) {
		const {request, response} = exchange;
		if (run.isLeaving()) {
			response.setHeader('connection', 'close');
		}

		try {
			await answerExchange(exchange, run);
		} catch (error) {
			refuseExchange(exchange, error);
		}

		// Discards an unread body, which would otherwise be parsed as the next request.
		request.resume();
		await untilClosed(response);
	}
};

/**
Answers an exchange whose handler threw. A fault is thrown only before a task is sent, so its outcome is `NotRun`; after any other error the outcome is unknown.
*/
const refuseExchange = ({response}: CallerExchange, error: unknown): void => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	response.setHeader('connection', 'close');
	writeProblem(response, {
		fault: isFault(error) ? error.name : FaultKind.Internal, outcome: isFault(error) ? Outcome.NotRun : Outcome.OutcomeUnknown, detail: detailOf(error),
	});
};
