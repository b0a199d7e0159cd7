/**
An endpoint in memory with fencing tokens and leases, which records its runs.
*/
import {
	type EndedRun, type EndpointCalls, type PollRequest, type PollReply, CallOutcome, type CallReply, RunEnd, type StartRequest, type StopRequest,
} from '@galenakeel/model/connection/endpoint-calls.js';
import {isSameTask, type TaskKey} from '@galenakeel/model/request/task-key.js';

/**
A run as recorded. Times are milliseconds of the time of day, which goes on while an owner is suspended.
*/
export type LeasedRun = {
	readonly task: TaskKey;
	readonly attempt: number;
	readonly startedAt: number;
	endedAt: number;
};

/**
An endpoint whose runs never end by themselves, unless they are stopped or their lease expires.
*/
export type LeasedEndpoint = {
	readonly calls: EndpointCalls;
	readonly runs: readonly LeasedRun[];
	/** Whether stops are neither carried out nor answered. */
	ignoresStops: boolean;
	/** Whether polls and starts are rejected, as after the call of an owner with a higher token. */
	isFenced: boolean;
	/** Time until a call is carried out. */
	delayMilliseconds: number;
};

const usualDelayMilliseconds = 1;
const pollStepMilliseconds = 5;
const maximumLeaseMilliseconds = 1000;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

/**
Creates an idle endpoint.

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
	let leaseEndsAt = 0;

	const finish = (run: LeasedRun, end: RunEnd, endedAt: number): void => {
		run.endedAt = endedAt;
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

	const extendLease = (until: number | undefined): void => {
		activeRuns();
		leaseEndsAt = Math.max(leaseEndsAt, Math.min(until ?? 0, Date.now() + maximumLeaseMilliseconds));
	};

	const reply = (outcome: CallOutcome): CallReply => ({outcome, clockMilliseconds: Date.now()});

	const endpoint: LeasedEndpoint = {
		runs,
		ignoresStops: false,
		isFenced: false,
		delayMilliseconds: usualDelayMilliseconds,
		calls: {
			async start({task, attempt, leaseEndMilliseconds}: StartRequest) {
				await pause(endpoint.delayMilliseconds);
				if (endpoint.isFenced) {
					return reply(CallOutcome.Fenced);
				}

				extendLease(leaseEndMilliseconds);
				runs.push({
					task, attempt, startedAt: Date.now(), endedAt: Number.POSITIVE_INFINITY,
				});
				return reply(CallOutcome.Done);
			},
			async stop({task, attempt}: StopRequest) {
				await pause(endpoint.delayMilliseconds);
				if (endpoint.ignoresStops) {
					return {outcome: CallOutcome.Unknown, clockMilliseconds: undefined};
				}

				const run = activeRuns().find(one => one.attempt === attempt && isSameTask(one.task, task));
				if (run) {
					finish(run, RunEnd.Stopped, Date.now());
				}

				return reply(CallOutcome.Done);
			},
			async poll({acknowledged, leaseEndMilliseconds, waitMilliseconds}: PollRequest): Promise<PollReply> {
				await pause(endpoint.delayMilliseconds);
				if (endpoint.isFenced) {
					return {outcome: CallOutcome.Fenced};
				}

				extendLease(leaseEndMilliseconds);
				const until = Date.now() + waitMilliseconds;
				const unacknowledged = (): readonly EndedRun[] => ended.filter(({sequence}) => sequence > acknowledged);
				activeRuns();
				while (unacknowledged().length === 0 && Date.now() < until) {
					await pause(pollStepMilliseconds);
					activeRuns();
				}

				return {
					outcome: CallOutcome.Done,
					report: {
						clockMilliseconds: Date.now(),
						active: activeRuns().map(({task, attempt}) => ({task, attempt, processorInUse: 1})),
						ended: unacknowledged(),
					},
				};
			},
			close() {
				// The endpoint outlives its owners.
			},
		},
	};
	return endpoint;
};
