import type {Violation} from '../request/check-history.js';
import {parseRawResponse, sendRaw} from '../connection/raw-caller.js';
import {ProvePoint} from '../version/prove-point.js';
import type {FaultHistory} from './fault-history.js';
import {
	createTrialHistory, runCallers, trialService, type Trial,
} from './trial.js';

const callers = 25;
const slowCallerMilliseconds = 800;
// Twice the slow-caller limit of the settings, and 1 s of tolerance for a busy machine.
const endTimeoutMilliseconds = (slowCallerMilliseconds * 2) + 1000;
const pauseMilliseconds = 100;
const bufferedBodyBytes = 4096;
const sentBytes = 20_000;
const declaredBytes = 40_000;

/**
How a caller's request becomes invalid or incomplete after it has begun.
*/
enum BrokenRequest {
	/** The caller stops sending in the middle of a job's body. */
	HalfJob = 'half-job',
	/** The caller stops sending in the middle of a body that is buffered completely. */
	HalfBody = 'half-body',
	/** The caller stops sending in the middle of a body that is streamed to the endpoint. */
	HalfStream = 'half-stream',
	/** A streamed body with chunked encoding continues with bytes that are not a valid chunk. */
	BadChunk = 'bad-chunk',
	/** While a request runs, its connection receives bytes that are not a valid request. */
	BadNextRequest = 'bad-next-request',
}

const kinds = Object.values(BrokenRequest);

const post = (task: string, fields: string, run = 20): string => `POST /v1/services/${trialService}/sheet?task=${task}&run=${run} HTTP/1.1\r\nhost: daemon\r\n${fields}\r\n\r\n`;

const halfJob = (name: string, task: string): string => {
	const body = JSON.stringify({service: trialService, tasks: [{path: `/sheet?task=${task}&run=20`, body: task}]});
	return `PUT /v1/jobs/${name} HTTP/1.1\r\nhost: daemon\r\ncontent-length: ${body.length + 1}\r\n\r\n${body}`;
};

/**
Returns the parts in which a caller sends its request. After the last part the caller sends nothing more.
*/
const partsOf = (kind: BrokenRequest, name: string, task: string): readonly string[] => {
	const sent = 'x'.repeat(sentBytes);
	switch (kind) {
		case BrokenRequest.HalfJob: {
			return [halfJob(name, task)];
		}

		case BrokenRequest.HalfBody: {
			return [`${post(task, 'content-length: 1000')}half`];
		}

		case BrokenRequest.HalfStream: {
			return [`${post(task, `content-length: ${declaredBytes}`)}${sent}`];
		}

		case BrokenRequest.BadChunk: {
			return [`${post(task, 'transfer-encoding: chunked')}${sentBytes.toString(16)}\r\n${sent}\r\n`, 'no chunk\r\n'];
		}

		case BrokenRequest.BadNextRequest: {
			return [`${post(task, `content-length: ${task.length}`, slowCallerMilliseconds)}${task}`, 'NO REQUEST\r\n\r\n'];
		}
	}
};

/** Kinds of requests whose beginning may reach an endpoint. */
const mayStart: ReadonlySet<BrokenRequest> = new Set([BrokenRequest.HalfStream, BrokenRequest.BadChunk, BrokenRequest.BadNextRequest]);

const sendBroken = async (trial: Trial, kind: BrokenRequest, caller: number): Promise<readonly Violation[]> => {
	const {fleet, history, random, instances} = trial;
	const name = `${kind}-${caller}`;
	const task = `single-${name}`;
	const sentAt = Date.now();
	const {text, isClosed, durationMilliseconds} = await sendRaw(fleet.callersOf(random.pick(instances)), partsOf(kind, name, task), endTimeoutMilliseconds, pauseMilliseconds);
	const {status, outcome, body} = parseRawResponse(text);
	history.operations.push({
		identifier: '', tasks: [task], sentAt, endedAt: Date.now(), outcome, status, text: body, isCut: false, isDisturbed: false,
	});
	const hasStarted = fleet.endpoints.some(({standIn}) => standIn.starts().some(start => start.task === task));
	return [
		...isClosed ? [] : [{point: ProvePoint.TrueRefusal, detail: `the connection of ${name} was still open after ${Math.round(durationMilliseconds)} ms; the answer had status ${status}`}],
		...hasStarted && !mayStart.has(kind) ? [{point: ProvePoint.StartsOnce, detail: `${name} started a task from an incomplete body`}] : [],
	];
};

/**
Callers stop sending in the middle of a body or continue with bytes that are not valid HTTP: no task starts from an incomplete body that is buffered, no refused request has run, and the connection is closed within the limits of the settings.
*/
export const brokenRequestHistory: FaultHistory = async (history, random) => {
	const violations: Violation[] = [];
	const run = createTrialHistory(ProvePoint.TrueRefusal, {
		size: {settings: {platform: {pollMilliseconds: 100}, limits: {slowCallerMilliseconds, bufferedBodyBytes}}},
		document: {timeoutMilliseconds: 5000, deadlineMilliseconds: 6000},
	}, async trial => {
		await runCallers(trial, callers, 200, async caller => {
			violations.push(...await sendBroken(trial, kinds[caller % kinds.length]!, caller));
		});
		await trial.submit({name: 'last', instance: random.pick(trial.instances)});
	});
	const extra = await run(history, random);
	return [...violations, ...extra];
};
