import {performance} from 'node:perf_hooks';
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen, readText, writeJson} from '../connection/http-json.js';

/**
Faults of a worker.
*/
export enum WorkerFault {
	/** Works correctly. */
	None = 'none',
	/** Fails all runs immediately. */
	FailsAll = 'fails-all',
	/** Executes start calls after a delay and doesn't answer them. */
	LateStarts = 'late-starts',
	/** Executes start calls but closes the connection without an answer. */
	LostAnswers = 'lost-answers',
	/** Runs make no progress and use no processor time. */
	Stalls = 'stalls',
	/** Doesn't answer every third poll. */
	LostPolls = 'lost-looks',
	/** Neither executes nor answers calls. */
	Silent = 'silent',
}

/**
What a worker is started with.
*/
export type WorkerOptions = {
	/** Capacity in thousandths of a core. */
	readonly processor: number;
	/** Factor of the run time of tasks: 2 doubles it. */
	readonly speed: number;
	readonly label: string;
	readonly rack: string;
};

/**
A run as recorded for a trial. Times are monotonic milliseconds of the trial's process.
*/
export type WorkerRun = {
	readonly task: string;
	readonly attempt: number;
	readonly startedAt: number;
	endedAt: number | undefined;
	end: string | undefined;
};

/**
A stand-in of an endpoint that runs tasks on request, under leases and fencing tokens.
*/
export type WorkerStandIn = {
	readonly identifier: string;
	readonly address: string;
	fault: WorkerFault;
	/** All runs since the stand-in was started, including those of earlier incarnations. */
	readonly runs: () => readonly WorkerRun[];
	/** The worker's entry for the store. A public address other than the worker's own is that of a proxy. */
	readonly entry: (zone: string, state?: string, publicAddress?: string) => Readonly<Record<string, unknown>>;
	/** Loses all state and starts a new incarnation, as after a crash and restart of the process. */
	readonly crash: () => void;
	/** Stands still for a time: runs make no progress and end with their lease, and calls are executed and answered afterwards. */
	readonly pause: (milliseconds: number) => Promise<void>;
	readonly close: () => void;
};

type ActiveRun = WorkerRun & {endsAt: number; readonly processor: number};
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

/** Parses a task specification of the form "MILLISECONDS PROCESSOR": run time at speed 1 and thousandths of a core. */
const parseSpecification = (text: string): readonly [milliseconds: number, processor: number] => {
	const [milliseconds, processor] = text.split(' ').map(Number);
	return [milliseconds ?? 0, processor ?? 0];
};

/**
Starts an idle worker.

@example
```
const worker = await startWorkerStandIn('i-1', '127.0.0.1:8080', {processor: 2000, speed: 1, label: 'a', rack: 'r1'});
```
*/
export const startWorkerStandIn = async (identifier: string, address: string, options: WorkerOptions): Promise<WorkerStandIn> => {
	const allRuns: WorkerRun[] = [];
	let active: ActiveRun[] = [];
	let ended: Ended[] = [];
	let highestAttempts = new Map<string, number>();
	let highestToken = 0;
	let sequence = 0;
	let polls = 0;
	let isPaused = false;
	/** Resolves when the worker no longer stands still. */
	let resumed = Promise.resolve();
	let leaseEndsAt = 0;
	let born = Date.now();
	let startedAtMonotonic = performance.now();
	/** Ends the waits of the polls that wait for the end of a run. */
	const pollWakers = new Set<() => void>();

	const clock = (): number => Math.floor(performance.now() - startedAtMonotonic);

	const finish = (run: ActiveRun, end: string, endedAt = performance.now()): void => {
		active = active.filter(other => other !== run);
		run.endedAt = endedAt;
		run.end = end;
		sequence++;
		ended.push([sequence, run.task, run.attempt, end, '']);
		highestAttempts.set(run.task, Math.max(run.attempt, highestAttempts.get(run.task) ?? 0));
		for (const wake of pollWakers) {
			wake();
		}
	};

	/** Waits for the end of a run, at most for the given time. */
	const untilEnd = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		const wake = (): void => {
			clearTimeout(timeout);
			pollWakers.delete(wake);
			resolve();
		};

		const timeout = setTimeout(wake, milliseconds);
		pollWakers.add(wake);
	});

	const updateRuns = (): void => {
		if (isPaused) {
			return;
		}

		const now = performance.now();
		for (const run of active) {
			// On a busy machine this check may run late. The run still counts as ended at the expiry of its lease.
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
		updateRuns();
		if (ended.length === 0 && WaitMs > 0) {
			await untilEnd(WaitMs);
			await resumed;
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
		await resumed;
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
			Service: 'sheets', Address: publicAddress, Zone: zone, Version: 'v1', Slots: 8, State: state, ColdRemainingMs: 0, Capacity: {Cpu: options.processor, MemMb: 1024, Gpu: 0}, Labels: [options.label, options.rack], born, Seq: 1,
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
		async pause(milliseconds) {
			const pausedAt = performance.now();
			updateRuns();
			isPaused = true;
			resumed = sleep(milliseconds);
			await resumed;
			isPaused = false;
			for (const run of active) {
				run.endsAt += performance.now() - pausedAt;
			}

			updateRuns();
		},
		close() {
			clearInterval(timer);
			server.closeAllConnections();
			server.close();
		},
	};
	return standIn;
};
