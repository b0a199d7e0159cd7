/**
An endpoint in memory that keeps to the platform's protocol: fencing tokens, leases, run numbers and room.
*/
import {performance} from 'node:perf_hooks';
import {
	CallOutcome, RunEnd, type CallReply, type EndedRun, type EndpointCalls, type PollReply, type PollRequest, type StartRequest, type StopRequest,
} from '@galenakeel/model/connection/endpoint-calls.js';
import {isSameTask, positionOf, type TaskKey} from '@galenakeel/model/request/task-key.js';
import type {ConversationHistory} from './conversation-history.js';
import type {SeededRandom} from './seeded-random.js';
import type {SimulatedProcess, SimulatedProcesses} from './simulated-processes.js';

/**
A run as the endpoint has carried it out. Times are monotonic milliseconds.
*/
export type SimulatedRun = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly endpoint: string;
	/** Daemon that started it. */
	readonly starter: string;
	readonly startedAt: number;
	/** Infinite while the run is active. */
	endedAt: number;
	end: RunEnd | undefined;
};

/**
An endpoint that several daemons call.
*/
export type SimulatedEndpoint = {
	readonly identifier: string;
	/** The calls of a daemon, whose answers reach it inside its process. */
	readonly callsOf: (process: SimulatedProcess) => EndpointCalls;
	readonly runs: readonly SimulatedRun[];
	/** For some time, leaves calls unanswered and carries them out late, in milliseconds. */
	readonly carryOutLate: (milliseconds: number) => void;
	/** Loses the calls of a daemon, and the answers to them, from now on. */
	readonly cutOff: (daemon: string) => void;
};

/** How tasks run: the milliseconds of each task, by step and index. */
export type TaskDurations = ReadonlyArray<readonly number[]>;

const leastDelayMilliseconds = 1;
const mostDelayMilliseconds = 3;
const maximumLeaseMilliseconds = 1000;
/** A stop takes at most this long. */
const mostStopMilliseconds = 30;
const failureProbability = 0.06;
/** Probability that a call is carried out late while an endpoint does so. */
const lateProbability = 0.5;
const leastLateMilliseconds = 500;
const mostLateMilliseconds = 4000;
/** As in the client of endpoints: time after which the outcome of a call is unknown; that of a poll in addition to its wait. */
const timeoutMilliseconds = 100;

/**
Creates an idle endpoint.

@param room Number of tasks that run at once.

@example
```
const endpoint = createSimulatedEndpoint({identifier: 'i-1', room: 2, processes, random, history});
endpoint.callsOf(daemon).start(request);
```
*/
export const createSimulatedEndpoint = ({identifier, room, processes, random, history}: {
	readonly identifier: string;
	readonly room: number;
	readonly processes: SimulatedProcesses;
	readonly random: SeededRandom;
	readonly history: ConversationHistory;
}): SimulatedEndpoint => {
	const runs: SimulatedRun[] = [];
	const ended: EndedRun[] = [];
	/** Highest run of each task that was stopped or has ended here. */
	const highestEnded = new Map<string, number>();
	let highestToken = 0;
	let leaseEndsAt = 0;
	let leaseTimer: NodeJS.Timeout | undefined;
	let wakePolls: Array<() => void> = [];
	/** Monotonic milliseconds up to which calls are carried out late. */
	let lateUntil = 0;
	/** Daemons whose calls are lost. */
	const lostDaemons = new Set<string>();

	const keyOf = (task: TaskKey): string => `${task.job} ${positionOf(task)}`;
	const activeRuns = (): readonly SimulatedRun[] => runs.filter(({end}) => end === undefined);

	const recordEnded = (task: TaskKey, attempt: number): void => {
		highestEnded.set(keyOf(task), Math.max(highestEnded.get(keyOf(task)) ?? 0, attempt));
	};

	const finish = (run: SimulatedRun, end: RunEnd): void => {
		if (run.end !== undefined) {
			return;
		}

		run.end = end;
		run.endedAt = performance.now();
		history.record(run.task.job, `${identifier}: run ${run.attempt} of ${positionOf(run.task)} ends as ${end}`);
		recordEnded(run.task, run.attempt);
		ended.push({
			sequence: ended.length + 1, task: run.task, attempt: run.attempt, end,
		});
		for (const wake of wakePolls) {
			wake();
		}

		wakePolls = [];
	};

	const lapse = (): void => {
		if (performance.now() >= leaseEndsAt) {
			for (const run of activeRuns()) {
				finish(run, RunEnd.Lapsed);
			}
		}
	};

	const extendLease = (until: number | undefined): void => {
		const end = Math.min(until ?? 0, performance.now() + maximumLeaseMilliseconds);
		if (end > leaseEndsAt) {
			leaseEndsAt = end;
			clearTimeout(leaseTimer);
			leaseTimer = setTimeout(lapse, Math.ceil(end - performance.now()));
		}
	};

	const isFenced = (token: number): boolean => {
		if (token < highestToken) {
			return true;
		}

		highestToken = token;
		return false;
	};

	const begin = ({task, attempt, specification}: StartRequest, starter: string): void => {
		const durations = JSON.parse(specification) as TaskDurations;
		const run: SimulatedRun = {
			task, attempt, endpoint: identifier, starter, startedAt: performance.now(), endedAt: Number.POSITIVE_INFINITY, end: undefined,
		};
		runs.push(run);
		history.record(task.job, `${identifier}: run ${attempt} of ${positionOf(task)} started by ${starter}`);
		const isFailure = random.isChosen(failureProbability);
		setTimeout(() => {
			finish(run, isFailure ? RunEnd.Failed : RunEnd.Succeeded);
		}, durations[task.step]![task.index]);
	};

	const start = (request: StartRequest, starter: string): CallOutcome => {
		const {task, attempt, fencingToken, leaseEndMilliseconds} = request;
		if (isFenced(fencingToken)) {
			return CallOutcome.Fenced;
		}

		if (leaseEndMilliseconds <= performance.now()) {
			return CallOutcome.Expired;
		}

		extendLease(leaseEndMilliseconds);
		if (activeRuns().some(run => run.attempt === attempt && isSameTask(run.task, task))) {
			return CallOutcome.Done;
		}

		if (attempt <= (highestEnded.get(keyOf(task)) ?? 0)) {
			return CallOutcome.Superseded;
		}

		if (activeRuns().length >= room) {
			return CallOutcome.InsufficientCapacity;
		}

		begin(request, starter);
		return CallOutcome.Done;
	};

	const stop = ({task, attempt, fencingToken}: StopRequest): CallOutcome => {
		if (isFenced(fencingToken)) {
			return CallOutcome.Fenced;
		}

		recordEnded(task, attempt);
		const run = activeRuns().find(one => one.attempt === attempt && isSameTask(one.task, task));
		if (run) {
			setTimeout(() => {
				finish(run, RunEnd.Stopped);
			}, random.integer(1, mostStopMilliseconds));
		}

		return CallOutcome.Done;
	};

	const awaitEnd = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		const timer = setTimeout(resolve, milliseconds);
		wakePolls.push(() => {
			clearTimeout(timer);
			resolve();
		});
	});

	const poll = async ({fencingToken, acknowledged, leaseEndMilliseconds, waitMilliseconds}: PollRequest): Promise<PollReply> => {
		if (isFenced(fencingToken)) {
			return {outcome: CallOutcome.Fenced};
		}

		extendLease(leaseEndMilliseconds);
		if (waitMilliseconds > 0 && !ended.some(({sequence}) => sequence > acknowledged)) {
			await awaitEnd(waitMilliseconds);
		}

		return {
			outcome: CallOutcome.Done,
			report: {
				clockMilliseconds: Math.floor(performance.now()),
				active: activeRuns().map(({task, attempt}) => ({task, attempt, processorInUse: 1})),
				ended: ended.filter(({sequence}) => sequence > acknowledged),
			},
		};
	};

	const delay = async (): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, random.integer(leastDelayMilliseconds, mostDelayMilliseconds));
	});

	const replyTo = (outcome: CallOutcome): CallReply => ({outcome, clockMilliseconds: Math.floor(performance.now())});

	/** Carries out a call late and leaves it unanswered. */
	const performLate = async <Reply>(perform: () => Promise<Reply>, waitMilliseconds: number): Promise<undefined> => {
		setTimeout(() => {
			void perform();
		}, random.integer(leastLateMilliseconds, mostLateMilliseconds));
		await new Promise(resolve => {
			setTimeout(resolve, timeoutMilliseconds + waitMilliseconds);
		});
		return undefined;
	};

	/** Loses a call that is never carried out. */
	const loseCall = async (waitMilliseconds: number): Promise<undefined> => {
		await new Promise(resolve => {
			setTimeout(resolve, timeoutMilliseconds + waitMilliseconds);
		});
		return undefined;
	};

	const performInTime = async <Reply>(perform: () => Promise<Reply>): Promise<Reply> => {
		await delay();
		const reply = await perform();
		await delay();
		return reply;
	};

	const isCalledLate = (): boolean => performance.now() < lateUntil && random.isChosen(lateProbability);

	const callsOf = (process: SimulatedProcess): EndpointCalls => {
		let callCount = 0;

		/** Performs a call at the endpoint, and hands the answer to the process. Answers may overtake each other. */
		const call = async <Reply>(perform: () => Promise<Reply>, unknown: Reply, waitMilliseconds = 0): Promise<Reply> => new Promise(resolve => {
			callCount++;
			const source = `${identifier} ${callCount}`;
			const send = async (): Promise<Reply | undefined> => {
				if (lostDaemons.has(process.name)) {
					return loseCall(waitMilliseconds);
				}

				return isCalledLate() ? performLate(perform, waitMilliseconds) : performInTime(perform);
			};

			const answer = async (): Promise<void> => {
				const reply = await send();
				process.execute(source, () => {
					resolve(reply ?? unknown);
				});
			};

			void processes.outside(answer);
		});

		const unknown = {outcome: CallOutcome.Unknown, clockMilliseconds: undefined} as const;

		return {
			start: async request => call(async () => replyTo(start(request, process.name)), unknown),
			stop: async request => call(async () => replyTo(stop(request)), unknown),
			poll: async request => call(async () => poll(request), unknown, request.waitMilliseconds),
			close() {
				// The endpoint outlives its owners.
			},
		};
	};

	return {
		identifier,
		callsOf,
		runs,
		carryOutLate(milliseconds) {
			lateUntil = performance.now() + milliseconds;
		},
		cutOff(daemon) {
			lostDaemons.add(daemon);
		},
	};
};
