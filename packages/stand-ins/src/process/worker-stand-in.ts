import {performance} from 'node:perf_hooks';
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen, readText, writeJson} from '../connection/http-json.js';

/**
How a worker misbehaves.
*/
export enum WorkerFault {
	None = 'none',
	/** Fails all that it starts, at once. */
	FailsAll = 'fails-all',
	/** Leaves starts unanswered and carries them out late. */
	LateStarts = 'late-starts',
	/** Carries starts out and loses the answers. */
	LostAnswers = 'lost-answers',
	/** Its tasks stand still. */
	Stalls = 'stalls',
	/** Leaves each third look without an answer. */
	LostPolls = 'lost-looks',
	/** Answers nothing. */
	Silent = 'silent',
}

/**
A run as callers of a trial see it. Times are steady milliseconds of the trial.
*/
export type WorkerRun = {
	readonly task: string;
	readonly attempt: number;
	readonly startedAt: number;
	endedAt: number | undefined;
	end: string | undefined;
};

/**
A stand-in of an endpoint that runs tasks on orders, under leases and fencing tokens.
*/
export type WorkerStandIn = {
	readonly identifier: string;
	readonly address: string;
	fault: WorkerFault;
	/** All runs since the stand-in was started, also of earlier lives. */
	readonly runs: () => readonly WorkerRun[];
	/** What the worker writes of itself into the store; another address is that of a proxy. */
	readonly entry: (zone: string, state?: string, publicAddress?: string) => Readonly<Record<string, unknown>>;
	/** Forgets all, as a process that has crashed and started anew. */
	readonly crash: () => void;
	readonly close: () => void;
};

type ActiveRun = WorkerRun & {readonly endsAt: number; readonly processor: number};
type Ended = readonly [sequence: number, task: string, attempt: number, end: string, saved: string];
type RequestBody = {
	readonly Task?: string;
	readonly Attempt?: number;
	readonly Spec?: string;
	readonly UntilMs?: number;
	readonly FencingToken?: number;
	readonly AckCursor?: number;
	readonly WaitMs?: number;
};

const maximumLeaseMilliseconds = 1000;
const tickMilliseconds = 2;
const lostPollInterval = 3;
const lateStartDelayMilliseconds = 2000;
const lateStartJitterMilliseconds = 500;

/** Duration and processor of a task stand in its specification, as "MILLISECONDS PROCESSOR". */
const parseSpecification = (text: string): readonly [milliseconds: number, processor: number] => {
	const [milliseconds, processor] = text.split(' ').map(Number);
	return [milliseconds ?? 0, processor ?? 0];
};

/**
Starts a worker without runs.

@param options.processor Thousandths of a core.

@example
```
const worker = await startWorkerStandIn('i-1', '127.0.0.1:8080', {processor: 2000, speed: 1, label: 'a'});
```
*/
export const startWorkerStandIn = async (identifier: string, address: string, options: {readonly processor: number; readonly speed: number; readonly label: string}): Promise<WorkerStandIn> => {
	const allRuns: WorkerRun[] = [];
	let active: ActiveRun[] = [];
	let ended: Ended[] = [];
	let highestAttempts = new Map<string, number>();
	let highestToken = 0;
	let sequence = 0;
	let polls = 0;
	let leaseEndsAt = 0;
	let born = Date.now();
	let startedAtMonotonic = performance.now();

	const clock = (): number => Math.floor(performance.now() - startedAtMonotonic);

	const finish = (run: ActiveRun, end: string, endedAt = performance.now()): void => {
		active = active.filter(other => other !== run);
		run.endedAt = endedAt;
		run.end = end;
		sequence++;
		ended.push([sequence, run.task, run.attempt, end, '']);
		highestAttempts.set(run.task, Math.max(run.attempt, highestAttempts.get(run.task) ?? 0));
	};

	const updateRuns = (): void => {
		const now = performance.now();
		for (const run of active) {
			// A busy machine may look late; the run has ended in time all the same.
			const leaseExpiresAt = startedAtMonotonic + leaseEndsAt + 1;
			if (now >= leaseExpiresAt && (standIn.fault === WorkerFault.Stalls || leaseExpiresAt < run.endsAt)) {
				finish(run, 'lapsed', leaseExpiresAt);
			} else if (standIn.fault === WorkerFault.FailsAll) {
				finish(run, 'failed');
			} else if (standIn.fault !== WorkerFault.Stalls && now >= run.endsAt) {
				finish(run, 'done');
			}
		}
	};

	const extendLease = (until: number | undefined): void => {
		leaseEndsAt = Math.max(leaseEndsAt, Math.min(until ?? 0, clock() + maximumLeaseMilliseconds));
	};

	const replyConflict = (response: ServerResponse, reason: string): void => {
		writeJson(response, 409, {ClockMs: clock(), Reason: reason, born});
	};

	const begin = (response: ServerResponse, {Task = '', Attempt = 0, Spec = '', UntilMs = 0}: RequestBody): void => {
		updateRuns();
		const [milliseconds, processor] = parseSpecification(Spec);
		const used = active.reduce((sum, run) => sum + run.processor, 0);
		if (active.some(({task, attempt}) => task === Task && attempt === Attempt)) {
			writeJson(response, 200, {ClockMs: clock(), born});
		} else if (UntilMs <= clock()) {
			replyConflict(response, 'late');
		} else if (Attempt <= (highestAttempts.get(Task) ?? 0)) {
			replyConflict(response, 'old');
		} else if (used + processor > options.processor) {
			replyConflict(response, 'room');
		} else {
			extendLease(UntilMs);
			const now = performance.now();
			const run: ActiveRun = {
				task: Task, attempt: Attempt, startedAt: now, endedAt: undefined, end: undefined, endsAt: now + (milliseconds * options.speed), processor,
			};
			active.push(run);
			allRuns.push(run);
			writeJson(response, 200, {ClockMs: clock(), born});
		}
	};

	const stop = (response: ServerResponse, {Task = '', Attempt = 0}: RequestBody): void => {
		updateRuns();
		const run = active.find(({task, attempt}) => task === Task && attempt === Attempt);
		if (run) {
			finish(run, 'stopped');
		}

		highestAttempts.set(Task, Math.max(Attempt, highestAttempts.get(Task) ?? 0));
		writeJson(response, 200, {ClockMs: clock(), born});
	};

	const answerPoll = async (response: ServerResponse, {UntilMs, AckCursor = 0, WaitMs = 0}: RequestBody): Promise<void> => {
		updateRuns();
		extendLease(UntilMs);
		ended = ended.filter(([endedSequence]) => endedSequence > AckCursor);
		const until = performance.now() + WaitMs;
		updateRuns();
		while (ended.length === 0 && performance.now() < until) {
			await sleep(tickMilliseconds);
			updateRuns();
		}

		polls++;
		if (standIn.fault === WorkerFault.Silent || (standIn.fault === WorkerFault.LostPolls && polls % lostPollInterval === 0)) {
			return;
		}

		writeJson(response, 200, {
			ClockMs: clock(), born, Active: active.map(({task, attempt, processor}) => [task, attempt, '', 100, standIn.fault === WorkerFault.Stalls ? 0 : processor]), Finished: ended,
		});
	};

	const serve = async (path: string, requestBody: RequestBody, response: ServerResponse): Promise<void> => {
		if ((requestBody.FencingToken ?? 0) < highestToken) {
			replyConflict(response, 'fence');
			return;
		}

		highestToken = Math.max(highestToken, requestBody.FencingToken ?? 0);
		if (path === '/run-start') {
			begin(response, requestBody);
		} else if (path === '/run-stop') {
			stop(response, requestBody);
		} else {
			await answerPoll(response, requestBody);
		}
	};

	const server = await listen(address, async (request, response) => {
		const path = request.url ?? '/';
		const requestBody = JSON.parse(await readText(request)) as RequestBody;
		const isStart = path === '/run-start';
		if (standIn.fault === WorkerFault.Silent) {
			return;
		}

		if (isStart && standIn.fault === WorkerFault.LateStarts) {
			await sleep(lateStartDelayMilliseconds + (Math.random() * lateStartJitterMilliseconds));
			response.destroy();
		} else if (isStart && standIn.fault === WorkerFault.LostAnswers) {
			response.destroy();
		}

		await serve(path, requestBody, response);
	});
	const timer = setInterval(updateRuns, tickMilliseconds);

	const standIn: WorkerStandIn = {
		identifier,
		address,
		fault: WorkerFault.None,
		runs: () => allRuns,
		entry: (zone, state = 'ready', publicAddress = address) => ({
			Service: 'sheets', Address: publicAddress, Zone: zone, Version: 'v1', Slots: 8, State: state, ColdRemainingMs: 0, Capacity: {Cpu: options.processor, MemMb: 1024, Gpu: 0}, Labels: [options.label, 'r1'], born, Seq: 1,
		}),
		crash() {
			for (const run of active) {
				run.endedAt = performance.now();
				run.end = 'crashed';
			}

			active = [];
			ended = [];
			highestAttempts = new Map();
			highestToken = 0;
			sequence = 0;
			leaseEndsAt = 0;
			born = Date.now();
			startedAtMonotonic = performance.now();
		},
		close() {
			clearInterval(timer);
			server.closeAllConnections();
			server.close();
		},
	};
	return standIn;
};
