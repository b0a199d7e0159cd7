/**
An endpoint in memory with fencing tokens and leases, which records its runs.
*/
import {
	type EndedRun, type EndpointCalls, type PollRequest, type PollReply, CallOutcome, type CallReply, RunEnd, type StartRequest, type StopRequest,
} from '@galenakeel/model/connection/endpoint-calls.js';
import {isSameTask, type TaskKey} from '@galenakeel/model/request/task-key.js';

/**
A run as recorded. Times are monotonic milliseconds.
*/
export type LeasedRun = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly startedAt: number;
	endedAt: number;
};

/**
An endpoint whose runs never end by themselves, unless they are stopped, their lease expires or the endpoint restarts. It starts no run twice, and none that is not higher than one of the task that was stopped or has ended there. Its time is the time of day, which a suspension of its owner doesn't stop.
*/
export type LeasedEndpoint = {
	readonly calls: EndpointCalls;
	readonly runs: readonly LeasedRun[];
	/** Whether stops are neither carried out nor answered. */
	ignoresStops: boolean;
	/** Whether polls and starts are rejected, as after the call of an owner with a higher token. */
	isFenced: boolean;
	/** Number of starts that were rejected since an owner had sent a higher token. */
	fencedStarts: number;
	/** Time until a call is carried out. */
	delayMilliseconds: number;
	/** Whether calls get no answer. Starts are then carried out late, other calls never. */
	isSilent: boolean;
	/** Time after which a start that got no answer is carried out. */
	lateStartMilliseconds: number;
	/** Time by which the answers to polls that are sent now are late. */
	pollAnswerDelayMilliseconds: number;
	/** Start of the incarnation that the platform lists, in Unix milliseconds. */
	listedStartedAt: number;
	/** Ends all runs and starts again under the same identifier, at the same address. Polls that wait get no answer. */
	readonly restart: () => void;
};

const usualDelayMilliseconds = 1;
const pollStepMilliseconds = 5;
const maximumLeaseMilliseconds = 1000;
/** Time after which a caller no longer waits for an answer. */
const answerTimeoutMilliseconds = 100;
const usualLateStartMilliseconds = 1000;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const nameOf = ({job, step, index}: TaskKey): string => `${job}.${step}.${index}`;

/**
Creates an idle endpoint, whose first start was at Unix millisecond 1.

@example
```
const endpoint = createLeasedEndpoint();
await endpoint.calls.start({task, attempt: 1, specification: '', leaseEndMilliseconds: 1000, fencingToken: 1});
endpoint.runs.length; // => 1
```
*/
export const createLeasedEndpoint = (): LeasedEndpoint => {
	const runs: LeasedRun[] = [];
	const ended: EndedRun[] = [];
	/** The highest attempt of each task that was stopped or has ended. */
	const endedAttempts = new Map<string, number>();
	let leaseEndsAt = 0;
	let startedAt = 1;
	/** Unix milliseconds at which the clock of the present incarnation was 0. */
	let clockBeganAt = 0;

	const clock = (): number => Date.now() - clockBeganAt;

	const rejectAttempts = (task: TaskKey, attempt: number): void => {
		endedAttempts.set(nameOf(task), Math.max(attempt, endedAttempts.get(nameOf(task)) ?? 0));
	};

	const finish = (run: LeasedRun, end: RunEnd, endedAt: number): void => {
		run.endedAt = endedAt;
		rejectAttempts(run.task, run.attempt);
		ended.push({
			sequence: ended.length + 1, task: run.task, attempt: run.attempt, end,
		});
	};

	const activeRuns = (): readonly LeasedRun[] => {
		const now = Date.now();
		for (const run of runs) {
			if (run.endedAt === Number.POSITIVE_INFINITY && now >= leaseEndsAt) {
				finish(run, RunEnd.Lapsed, leaseEndsAt);
			}
		}

		return runs.filter(({endedAt}) => endedAt === Number.POSITIVE_INFINITY);
	};

	const findActive = ({task, attempt}: Pick<LeasedRun, 'task' | 'attempt'>): LeasedRun | undefined =>
		activeRuns().find(one => one.attempt === attempt && isSameTask(one.task, task));

	const extendLease = (until: number | undefined): void => {
		activeRuns();
		leaseEndsAt = Math.max(leaseEndsAt, Math.min((until ?? 0) + clockBeganAt, Date.now() + maximumLeaseMilliseconds));
	};

	const reply = (outcome: CallOutcome): CallReply => ({outcome, clockMilliseconds: clock()});

	const executeStart = ({task, attempt, leaseEndMilliseconds}: StartRequest): CallReply => {
		extendLease(leaseEndMilliseconds);
		if (findActive({task, attempt})) {
			return reply(CallOutcome.Done);
		}

		if (attempt <= (endedAttempts.get(nameOf(task)) ?? 0)) {
			return reply(CallOutcome.Superseded);
		}

		runs.push({
			task, attempt, startedAt: Date.now(), endedAt: Number.POSITIVE_INFINITY,
		});
		return reply(CallOutcome.Done);
	};

	const endpoint: LeasedEndpoint = {
		runs,
		ignoresStops: false,
		isFenced: false,
		fencedStarts: 0,
		delayMilliseconds: usualDelayMilliseconds,
		isSilent: false,
		lateStartMilliseconds: usualLateStartMilliseconds,
		pollAnswerDelayMilliseconds: 0,
		listedStartedAt: 1,
		restart() {
			for (const run of activeRuns()) {
				run.endedAt = Date.now();
			}

			ended.length = 0;
			endedAttempts.clear();
			leaseEndsAt = 0;
			startedAt++;
			clockBeganAt = Date.now();
		},
		calls: {
			async start(request: StartRequest) {
				if (endpoint.isSilent) {
					setTimeout(() => {
						executeStart(request);
					}, endpoint.lateStartMilliseconds);
					await pause(answerTimeoutMilliseconds);
					return {outcome: CallOutcome.Unknown, clockMilliseconds: undefined};
				}

				await pause(endpoint.delayMilliseconds);
				if (endpoint.isFenced) {
					endpoint.fencedStarts++;
					return reply(CallOutcome.Fenced);
				}

				return executeStart(request);
			},
			async stop({task, attempt}: StopRequest) {
				await pause(endpoint.isSilent ? answerTimeoutMilliseconds : endpoint.delayMilliseconds);
				if (endpoint.ignoresStops || endpoint.isSilent) {
					return {outcome: CallOutcome.Unknown, clockMilliseconds: undefined};
				}

				const run = findActive({task, attempt});
				rejectAttempts(task, attempt);
				if (run) {
					finish(run, RunEnd.Stopped, Date.now());
				}

				return reply(CallOutcome.Done);
			},
			async poll({acknowledged, leaseEndMilliseconds, waitMilliseconds}: PollRequest): Promise<PollReply> {
				const sentTo = startedAt;
				const hasRestarted = (): boolean => startedAt !== sentTo;
				const answerDelayMilliseconds = endpoint.pollAnswerDelayMilliseconds;
				const answerEndsAt = Date.now() + waitMilliseconds + answerTimeoutMilliseconds;
				const missAnswer = async (): Promise<PollReply> => {
					await pause(Math.max(1, answerEndsAt - Date.now()));
					return {outcome: CallOutcome.Unknown};
				};

				await pause(endpoint.delayMilliseconds);
				if (endpoint.isSilent) {
					return missAnswer();
				}

				if (endpoint.isFenced) {
					return {outcome: CallOutcome.Fenced};
				}

				extendLease(leaseEndMilliseconds);
				const until = Date.now() + waitMilliseconds;
				const unacknowledged = (): readonly EndedRun[] => ended.filter(({sequence}) => sequence > acknowledged);
				activeRuns();
				while (unacknowledged().length === 0 && Date.now() < until && !hasRestarted()) {
					await pause(pollStepMilliseconds);
					activeRuns();
				}

				if (hasRestarted()) {
					return missAnswer();
				}

				const report = {
					startedAt,
					clockMilliseconds: clock(),
					active: activeRuns().map(({task, attempt}) => ({task, attempt, processorInUse: 1})),
					ended: unacknowledged(),
				};
				await pause(answerDelayMilliseconds);
				return {outcome: CallOutcome.Done, report};
			},
			close() {
				// The endpoint outlives its owners.
			},
		},
	};
	return endpoint;
};
