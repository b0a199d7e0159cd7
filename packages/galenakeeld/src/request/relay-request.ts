import {performance} from 'node:perf_hooks';
import type {Readable} from 'node:stream';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer, Task} from '@galenakeel/model/request/task.js';
import type {ServiceVersion} from '../version/service-version.js';
import type {RequestObserver} from './request-observer.js';
import type {TraceScope} from './trace-scope.js';
import {runTask, type StreamedTaskAnswer, type TaskContext} from './run-task.js';

/**
A single request without an identifier.
*/
export type RelayedRequest = {
	readonly service: string;
	readonly team: string;
	/** Deadline set by the caller; `undefined` applies the deadline of the document. */
	readonly deadlineMilliseconds: number | undefined;
	readonly task: Omit<Task, 'body'> & {readonly body: Uint8Array | Readable};
	/** Aborts when the caller has disconnected. */
	readonly signal: AbortSignal;
	readonly observer: RequestObserver;
	readonly trace: TraceScope;
};

/**
The functions of the process that a relayed request uses.
*/
export type RelayContext = {
	readonly findVersion: (service: string) => ServiceVersion | undefined;
	readonly admit: (version: ServiceVersion, submission: Pick<Submission, 'service' | 'team' | 'deadlineMilliseconds' | 'tasks'>) => SubmissionAnswer | undefined;
	readonly taskContext: (version: ServiceVersion) => Pick<TaskContext, 'withSlot' | 'send' | 'report' | 'mayRetry'>;
};

/**
The answer to a relayed request, with the time after which a refused request may be sent again.
*/
export type RelayAnswer = StreamedTaskAnswer & {readonly retryAfterMilliseconds?: number};

const refused = (fault: FaultKind, detail: string): StreamedTaskAnswer => ({
	outcome: Outcome.NotRun, status: 0, headers: [], body: new Uint8Array(), endpoint: '', fault, detail, attempts: 0,
});

/**
Relays a single request to an endpoint of its service.

@returns The endpoint's answer, or the outcome with the reason; never throws.

@example
```
const answer = await relayRequest({service: 'paysheet', team: 'payroll', deadlineMilliseconds: 2000, task, signal}, context);
```
*/
export const relayRequest = async (request: RelayedRequest, context: RelayContext): Promise<RelayAnswer> => {
	const answer = await relay(request, context);
	const {outcome, fault, detail} = answer;
	request.observer.end({outcome, ...(fault && {fault}), ...(detail !== undefined && {detail})});
	return answer;
};

const relay = async (request: RelayedRequest, context: RelayContext): Promise<RelayAnswer> => {
	const version = context.findVersion(request.service);
	if (!version) {
		return refused(FaultKind.UnknownService, `no document in force names the service "${request.service}"`);
	}

	const deadlineMilliseconds = request.deadlineMilliseconds ?? version.document.deadlineMilliseconds;
	const refusal = context.admit(version, {
		service: request.service, team: request.team, deadlineMilliseconds, tasks: [{...request.task, body: new Uint8Array()}],
	});
	if (refusal) {
		return {...refused(refusal.fault!, refusal.detail!), ...(refusal.retryAfterMilliseconds !== undefined && {retryAfterMilliseconds: refusal.retryAfterMilliseconds})};
	}

	return runTask(request.task, {
		...context.taskContext(version),
		version,
		team: request.team,
		deadlineAt: performance.now() + deadlineMilliseconds,
		signal: request.signal,
		onFirstStart() {
			// A request without an identifier has no submission entry to update.
		},
		note: request.observer.note,
		trace: request.trace,
	});
};
