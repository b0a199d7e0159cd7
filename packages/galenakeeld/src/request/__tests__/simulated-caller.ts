/**
A caller that submits one job, and submits it again through another daemon after it has left or got no certain answer.
*/
import {performance} from 'node:perf_hooks';
import {type JobEnd, type Job} from '@galenakeel/model/request/job.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import type {ConversationHistory} from './conversation-history.js';
import type {SimulatedDaemon} from './simulated-daemon.js';

/**
One submission of a job by its caller. Times are monotonic milliseconds.
*/
export type Attempt = {
	readonly daemon: string;
	readonly submittedAt: number;
	/** Undefined while the caller waits. */
	endedAt: number | undefined;
	/** The answer; undefined while the caller waits, and without a certain answer. */
	end: JobEnd | undefined;
};

/**
What a caller is going to do.
*/
export type CallerPlan = {
	readonly job: Job;
	readonly submitsAt: number;
	/** The daemons of the attempts, in order; no further attempt is made. */
	readonly daemons: readonly SimulatedDaemon[];
	/** When the caller leaves, counted from the start of each attempt, in milliseconds; infinite if it stays. */
	readonly leavesAfter: readonly number[];
	/** Whether the caller says with each attempt when it leaves. */
	readonly announcesWait?: boolean;
	/** How late the end of its connection reaches the daemon of each attempt, in milliseconds; infinite if never. Not at all late by default. */
	readonly endDelays?: readonly number[];
	/** How long the request of each attempt is on its way to the daemon, in milliseconds. Not at all by default. */
	readonly requestDelays?: readonly number[];
};

/**
A caller with its attempts so far.
*/
export type SimulatedCaller = {
	readonly plan: CallerPlan;
	readonly attempts: readonly Attempt[];
	/** Whether no attempt waits and none will follow. */
	readonly isDone: () => boolean;
};

const resendMilliseconds = 1300;

/**
Starts a caller outside of all processes.

@example
```
const caller = startSimulatedCaller(plan, queue, history);
caller.isDone();
```
*/
export const startSimulatedCaller = (plan: CallerPlan, queue: Queue, history: ConversationHistory): SimulatedCaller => {
	const {job, daemons, leavesAfter, announcesWait = false, endDelays = [], requestDelays = []} = plan;
	const attempts: Attempt[] = [];
	let isDone = false;

	const close = (attempt: Attempt, end: JobEnd | undefined, text: string): void => {
		attempt.endedAt = performance.now();
		attempt.end = end;
		history.record(job.identifier, `caller at ${attempt.daemon}: ${text}`);
		if (end !== undefined || attempts.length === daemons.length) {
			isDone = true;
		} else {
			setTimeout(submit, resendMilliseconds);
		}
	};

	function submit(): void {
		const number = attempts.length;
		const daemon = daemons[number]!;
		const attempt: Attempt = {
			daemon: daemon.process.name, submittedAt: performance.now(), endedAt: undefined, end: undefined,
		};
		attempts.push(attempt);
		history.record(job.identifier, `caller submits to ${attempt.daemon}`);
		const disconnected = new AbortController();
		const patience = leavesAfter[number]!;
		const waitMilliseconds = announcesWait && Number.isFinite(patience) ? patience : undefined;
		const source = `caller of ${job.identifier}, ${number}`;
		let tellSentAfter: () => number;
		// The connection is accepted; the request is read in a later turn, and the end of the connection in one still later.
		const sendRequest = (): void => {
			daemon.process.executeLast(source, () => {
				tellSentAfter = daemon.accept();
			});
			daemon.process.executeLast(source, () => {
				const wait = async (): Promise<void> => {
					const {end} = await daemon.submit(job, queue, {disconnected: disconnected.signal, sentAfter: tellSentAfter(), waitMilliseconds});
					if (attempt.endedAt === undefined) {
						close(attempt, end, `is answered ${end ?? 'unknown'}`);
					}
				};
				void wait();
			});
		};

		const requestDelay = requestDelays[number] ?? 0;
		if (requestDelay > 0) {
			setTimeout(sendRequest, requestDelay);
		} else {
			sendRequest();
		}

		const endConnection = (milliseconds: number): void => {
			const end = (): void => {
				daemon.process.execute(source, () => {
					history.record(job.identifier, `${attempt.daemon} reads that the caller has left`);
					disconnected.abort();
				});
			};

			if (milliseconds === 0) {
				end();
			} else if (Number.isFinite(milliseconds)) {
				setTimeout(end, milliseconds);
			}
		};

		if (Number.isFinite(patience)) {
			setTimeout(() => {
				if (attempt.endedAt === undefined) {
					close(attempt, undefined, 'leaves');
					endConnection(endDelays[number] ?? 0);
				}
			}, patience);
		}
	}

	setTimeout(submit, Math.max(1, plan.submitsAt - performance.now()));
	return {plan, attempts, isDone: () => isDone};
};
