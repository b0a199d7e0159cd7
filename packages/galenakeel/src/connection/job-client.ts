import {setTimeout as sleep} from 'node:timers/promises';
import {parseJson} from '@galenakeel/model/connection/json.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {isOutcome, Outcome} from '@galenakeel/model/request/outcome.js';
import {callDaemon, type DaemonReply} from './daemon-call.js';

const accepted = 202;
const progressIntervalMilliseconds = 500;

/**
The progress of a job that has no answer yet.
*/
export type JobProgress = {readonly job: string; readonly state: string; readonly tasks: number; readonly started: number; readonly finished: number};

/**
The final answer to a job, or the problem that was returned instead of it.
*/
export type JobAnswer = {
	readonly job: string;
	readonly outcome: Outcome;
	readonly status: number;
	/** The parsed body of the response. */
	readonly answer: JobAnswerBody;
};

/**
The body of a job's answer: its tasks, or problem details (RFC 9457).
*/
export type JobAnswerBody = {
	readonly title?: string;
	readonly detail?: string;
	readonly remedy?: string;
	readonly tasks?: ReadonlyArray<{readonly outcome: Outcome; readonly status: number}>;
};

/**
The state of a job: its progress, or its answer.
*/
export type JobState
	= | ({readonly isAnswered: false} & JobProgress)
		| ({readonly isAnswered: true} & JobAnswer);

const outcomeOf = ({headers}: DaemonReply): Outcome => {
	const value = String(headers['galenakeel-outcome'] ?? '');
	return isOutcome(value) ? value : Outcome.OutcomeUnknown;
};

const stateOf = (job: string, reply: DaemonReply): JobState => reply.status === accepted
	? {isAnswered: false, ...parseJson<JobProgress>(reply.text)}
	: {
		isAnswered: true, job, outcome: outcomeOf(reply), status: reply.status, answer: parseJson<JobAnswerBody>(reply.text),
	};

const pathOf = (job: string): string => `/v1/jobs/${encodeURIComponent(job)}`;

/**
Requests a new job identifier. A job with this identifier can run only on the instance that issued it.

@throws A fault of kind `InstanceUnreachable` when the instance does not issue one.
*/
export const createJobIdentifier = async (address: string, timeoutMilliseconds: number): Promise<string> => {
	const reply = await callDaemon(address, {method: 'POST', path: '/v1/job-identifiers'}, timeoutMilliseconds);
	if (reply.status !== 201) {
		throw createFault(FaultKind.InstanceUnreachable, `the instance at ${address} did not issue a job identifier: status ${reply.status}`);
	}

	return parseJson<{job: string}>(reply.text).job;
};

/**
Reads the state of a job.
*/
export const showJob = async (address: string, job: string, timeoutMilliseconds: number): Promise<JobState> =>
	stateOf(job, await callDaemon(address, {method: 'GET', path: pathOf(job)}, timeoutMilliseconds));

/**
Cancels a job: tasks that have not started will not start.
*/
export const cancelJob = async (address: string, job: string, timeoutMilliseconds: number): Promise<JobState> =>
	stateOf(job, await callDaemon(address, {method: 'DELETE', path: pathOf(job)}, timeoutMilliseconds));

type WatchedJob = {readonly address: string; readonly job: string; readonly timeoutMilliseconds: number};

const pollProgress = async (watched: WatchedJob, report: (progress: JobProgress) => void, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		try {
			await sleep(progressIntervalMilliseconds, undefined, {signal});
			const state = await showJob(watched.address, watched.job, watched.timeoutMilliseconds);
			if (!state.isAnswered && !signal.aborted) {
				report(state);
			}
		} catch {
			// Progress reports are optional: the answer arrives on a separate connection, so a failed poll is ignored.
		}
	}
};

/**
Submits a job and waits for its answer.

@param options.report Called about every 500 ms while the job runs.
@throws A fault of kind `InstanceUnreachable` when no answer arrives within `waitMilliseconds`. The job may have run; it is safe to submit it again with the same identifier.

@example
```
const {outcome} = await submitJob('10.1.2.3:8000', 'sheet-2041', text, {waitMilliseconds: 60_000, timeoutMilliseconds: 2000, report() {}});
```
*/
export const submitJob = async (address: string, job: string, text: string, options: {
	readonly waitMilliseconds: number;
	readonly timeoutMilliseconds: number;
	readonly report: (progress: JobProgress) => void;
}): Promise<JobAnswer> => {
	const answered = new AbortController();
	void pollProgress({address, job, timeoutMilliseconds: options.timeoutMilliseconds}, options.report, answered.signal);
	try {
		const reply = await callDaemon(address, {
			method: 'PUT', path: pathOf(job), body: text, headers: {'content-type': 'application/json'},
		}, options.waitMilliseconds);
		return {
			job, outcome: outcomeOf(reply), status: reply.status, answer: parseJson<JobAnswerBody>(reply.text),
		};
	} finally {
		answered.abort();
	}
};
