import {performance} from 'node:perf_hooks';
import type {EndpointCalls, EndpointReport} from '@galenakeel/model/connection/endpoint-calls.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {incarnationOf, type EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {createEndpointCooldowns} from './endpoint-cooldowns.js';
import {createEndpointReachability} from './endpoint-reachability.js';
import {EndpointDecision} from './endpoint-decision.js';
import {HealthState} from './endpoint-health.js';
import {
	createRun, overdueFactorOf, remainingTimesOf, RunResult, RunState, type Run, type RunRequest,
} from './endpoint-run.js';
import {createEndpointPollLoop} from './endpoint-poll-loop.js';
import {createEndpointPolls, type SentPoll} from './endpoint-polls.js';
import {createEndpointReports} from './endpoint-reports.js';
import {createEndpointRuns} from './endpoint-runs.js';
import {createEndpointStarts} from './endpoint-starts.js';
import {createEndpointStops} from './endpoint-stops.js';
import {createEndpointLeases} from './endpoint-leases.js';
import {minimumLeaseMilliseconds, shortLeaseMilliseconds} from './maximum-lease.js';
import type {EndpointCapacity} from './place-tasks.js';
import {createOrphanedRuns} from './orphaned-runs.js';
import {createReportOrders} from './report-order.js';
import {createReportedRuns} from './reported-runs.js';

/**
A run of an earlier owner that this one has taken over.
*/
export type AdoptedRun = {
	/** Attempt of the run; undefined if it had already succeeded. */
	readonly attempt: number | undefined;
	readonly ended: Promise<RunResult>;
};

/**
A task of which an earlier owner may have started a run.
*/
export type AdoptionRequest = Omit<RunRequest, 'attempt' | 'specification'>;

/**
An endpoint that this daemon starts tasks on.
*/
export type CellEndpoint = {
	readonly entry: () => EndpointEntry;
	/** Installs a newer entry of the same endpoint at the same address, also one of its next incarnation. */
	readonly update: (entry: EndpointEntry) => void;
	/** Free capacity now; undefined while the endpoint takes no tasks. */
	readonly availableCapacity: (factor: number) => EndpointCapacity | undefined;
	/** Whether the first poll has neither been answered nor failed. */
	readonly isAwaitingFirstAnswer: () => boolean;
	/** Starts a task and waits for its end. */
	readonly start: (request: RunRequest) => Promise<RunResult>;
	/** Takes over a run of an earlier owner; undefined if there is none. */
	readonly adopt: (request: AdoptionRequest) => AdoptedRun | undefined;
	/** Stops the runs of the tasks for which `isStopped` returns true. */
	readonly stopRuns: (isStopped: (task: TaskKey) => boolean) => void;
	/** Jobs with a run here that no job of the cell waits for: one that is being stopped, or that an earlier owner started. */
	readonly strayJobs: () => readonly string[];
	/** Polls the endpoint until it is closed. */
	readonly run: () => Promise<void>;
	/** Polls the endpoint beside the poll that waits for an end: until it has answered under the present token, no task is started there. */
	readonly pollNow: () => Promise<void>;
	/** Polls at once if the last lease was short or missing, since its limit has moved on. */
	readonly extendShortLease: () => void;
	/** Sends no further requests; all runs count as lost for this owner. */
	readonly close: () => void;
	readonly isIdle: () => boolean;
	/** Whether the endpoint answers polls. */
	readonly isReachable: () => boolean;
	/** Whether it is polled no longer. */
	readonly isClosed: () => boolean;
	/** The runs that this owner has started or adopted. */
	readonly runs: () => readonly Run[];
	/** Monotonic milliseconds up to which what runs there may go on without this owner. */
	readonly leaseEndsAt: () => number;
	/** Lowest ratio of elapsed time to estimate among the active runs; 0 when idle. */
	readonly overdueFactor: () => number;
};

/**
What an endpoint needs from its cell.
*/
export type CellEndpointOptions = {
	readonly calls: EndpointCalls;
	readonly holdMaximumMilliseconds: number;
	readonly token: () => number;
	/** Monotonic milliseconds since when the token has been valid. */
	readonly ownedSince: () => number;
	/** Whether orphaned runs of an earlier owner may be stopped. */
	readonly isSettled: () => boolean;
	/** Called after each change of capacity. */
	readonly onChange: () => void;
	readonly onFenced: () => void;
	/** Called when a poll reports runs, or ends of runs, that this owner has not started. */
	readonly onOrphans: () => void;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
	/** Called for each run that succeeded. */
	readonly onRunTime: (estimateMilliseconds: number, runMilliseconds: number) => void;
};

const unboundedTasks = Number.POSITIVE_INFINITY;
const noJobs: readonly string[] = [];

/**
Creates the control of an endpoint at its address. It follows the endpoint from one incarnation to the next, since starts reach whichever is up.

@example
```
const endpoint = createCellEndpoint(entry, options);
void endpoint.run();
const result = await endpoint.start(request);
```
*/
export const createCellEndpoint = (firstEntry: EndpointEntry, options: CellEndpointOptions): CellEndpoint => {
	const {calls, onDecision} = options;
	const reportOrders = createReportOrders(firstEntry.startedAt);
	let leases = createEndpointLeases(options.holdMaximumMilliseconds);
	const reachability = createEndpointReachability();
	const runs = createEndpointRuns({room: firstEntry.room, holdMaximumMilliseconds: options.holdMaximumMilliseconds, onChange: options.onChange});
	const orphans = createOrphanedRuns();
	let entry = firstEntry;
	let isClosed = false;
	/** Limit of the last lease that was to be sent, in monotonic milliseconds. */
	let lastLeaseLimitAt = Number.POSITIVE_INFINITY;

	const hasOrphans = (): boolean => orphans.active().length > 0;

	const describe = (task: TaskKey, attempt: number): Readonly<Record<string, unknown>> => ({
		job: task.job, task: `${task.step}.${task.index}`, attempt, endpoint: entry.identifier,
	});

	const cooldowns = createEndpointCooldowns({identifier: () => entry.identifier, onChange: options.onChange, onDecision});

	/** Returns the end of the next lease, on the endpoint's clock; undefined if a run must not go on. */
	const nextLease = (): number | undefined => {
		lastLeaseLimitAt = runs.leaseLimitAt();
		return leases.next(lastLeaseLimitAt);
	};

	const closeForOtherEndpoint = (): void => {
		if (!isClosed) {
			onDecision(EndpointDecision.Replaced, {endpoint: entry.identifier, startedAt: entry.startedAt, runs: runs.count()});
		}

		isClosed = true;
		runs.settleAllAsLost();
	};

	const hasClosed = (): boolean => isClosed;

	const polls = createEndpointPolls({
		calls, runs, reachability, token: options.token, acknowledged: () => reportedRuns.acknowledged(), polledToken: () => reports.polledToken(), hasOrphans,
		isClosed: hasClosed, nextLease, onReport, onOtherEndpoint: closeForOtherEndpoint,
	});

	/** Takes the clock of an answer to a start or stop. One that can't be the clock of the present incarnation tells that another one may have answered, which a poll shows. */
	const observeClock = (clockMilliseconds: number | undefined): void => {
		if (clockMilliseconds === undefined) {
			return;
		}

		if (leases.isPlausible(clockMilliseconds)) {
			leases.observe(clockMilliseconds);
		} else {
			void polls.pollNow();
		}
	};

	const {stopUntilEnded, stopOrphan} = createEndpointStops({
		calls, runs, token: options.token, startedAt: reportOrders.startedAt, ownedSince: options.ownedSince, haveLeasesExpired: () => leases.haveExpired(),
		isClosed: hasClosed, observeClock, pollNow: polls.pollNow, describe, onDecision, onFenced, onOtherEndpoint: closeForOtherEndpoint,
	});

	const starts = createEndpointStarts({
		calls, runs, cooldowns, token: options.token, nextLease, observeClock, pollNow: polls.pollNow, stopUntilEnded,
		describe, onDecision, onFenced, onOtherEndpoint: closeForOtherEndpoint,
	});

	const reportedRuns = createReportedRuns({
		runs, orphans, cooldowns, stopUntilEnded, describe, onDecision, onRunTime: options.onRunTime,
	});

	const beginLeases = (): void => {
		leases = createEndpointLeases(options.holdMaximumMilliseconds);
	};

	const reports = createEndpointReports({
		entry: () => entry, reportOrders, reachability, runs, orphans, reportedRuns, cooldowns, leases: () => leases, beginLeases, hasOrphans, isSettled: options.isSettled,
		stopUntilEnded, stopOrphan, abandonPoll: polls.abandon, onChange: options.onChange, onOrphans: options.onOrphans, onDecision,
	});

	function onReport(report: EndpointReport, poll: SentPoll): void {
		reports.onReport(report, poll);
	}

	/** No task is started here until a poll is answered that was sent later, under a token that the endpoint accepts. */
	function onFenced(token: number): void {
		if (token === options.token()) {
			reports.recordFenced();
		}

		options.onFenced();
	}

	/** Whether a run that no job waits for may still be active: not at another incarnation, nor once all leases of a silent endpoint have ended. */
	const canRunStrays = (): boolean => !isClosed && !(reachability.isSilent() && leases.haveExpired());

	const loop = createEndpointPollLoop({
		calls, polls, reachability, runs, identifier: () => entry.identifier, haveLeasesExpired: () => leases.haveExpired(), isClosed: hasClosed,
		onReport, onFenced, onOtherEndpoint: closeForOtherEndpoint, onDecision,
	});

	return {
		entry: () => entry,
		update(newer) {
			const isRestarted = newer.startedAt !== entry.startedAt && newer.startedAt !== reportOrders.startedAt();
			entry = newer;
			runs.installRoom(newer.room);
			if (isRestarted) {
				void polls.pollNow();
			}
		},
		availableCapacity(factor) {
			const now = performance.now();
			const state = cooldowns.stateAt(now);
			// Another owner may have started runs since the last poll, and a start would extend their leases.
			const isPolled = reports.polledToken() === options.token();
			// The next incarnation may have another room.
			const isListed = entry.startedAt === reportOrders.startedAt();
			const isReachable = isPolled && isListed && reachability.isReachable() && !isClosed && !runs.hasTooManyUnconfirmedStarts();
			const acceptsTasks = !entry.isDraining && cooldowns.isCapacityExpected(now) && state !== HealthState.CoolingDown && runs.leaseLimitAt() > now + minimumLeaseMilliseconds;
			if (!isReachable || !acceptsTasks || hasOrphans()) {
				return undefined;
			}

			return {
				endpoint: incarnationOf(entry),
				leaseEndsAt: leases.endsAt(),
				service: entry.service,
				free: runs.free(),
				total: entry.room,
				labels: entry.labels,
				factor,
				maximumTasks: state === HealthState.Probing ? Math.max(0, 1 - runs.count()) : unboundedTasks,
				remainingTimes: () => remainingTimesOf(runs.all(), factor),
				countOf: runs.countOf,
			};
		},
		isAwaitingFirstAnswer: () => reachability.isAwaitingFirstAnswer() && !isClosed,
		async start(request) {
			const run = createRun(request, RunState.Starting);
			runs.add(run);
			void starts.send(run, request.specification);
			polls.extendDuringIdlePoll();
			return run.ended.promise;
		},
		adopt(request) {
			if (orphans.hasSucceeded(request.task)) {
				return {attempt: undefined, ended: Promise.resolve(RunResult.Succeeded)};
			}

			const orphan = orphans.take(request.task);
			if (!orphan) {
				return undefined;
			}

			const run = createRun({...request, attempt: orphan.attempt}, RunState.Running);
			runs.add(run);
			return {attempt: orphan.attempt, ended: run.ended.promise};
		},
		stopRuns(isStopped) {
			runs.abandon(isStopped, run => {
				void stopUntilEnded(run);
			});
		},
		strayJobs: () => (runs.abandoned().size > 0 || hasOrphans()) && canRunStrays() ? [...orphans.active(), ...runs.abandoned()].map(({task}) => task.job) : noJobs,
		run: loop.run,
		pollNow: polls.pollNow,
		extendShortLease() {
			if (runs.count() > 0 && !isClosed && lastLeaseLimitAt < performance.now() + shortLeaseMilliseconds) {
				void polls.pollNow();
			}
		},
		close() {
			isClosed = true;
			runs.settleAllAsLost();
		},
		isIdle: () => runs.count() === 0,
		runs: () => [...runs.all()],
		isReachable: () => reachability.isReachable() && !isClosed,
		isClosed: () => isClosed,
		leaseEndsAt: () => leases.endsAt(),
		overdueFactor: () => overdueFactorOf(runs.all()),
	};
};
