import {performance} from 'node:perf_hooks';
import {
	type ActiveRun, type EndedRun, type EndpointCalls, type EndpointReport, CallOutcome, RunEnd,
} from '@galenakeel/model/connection/endpoint-calls.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {incarnationOf, type EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {awaitRetry} from './await-retry.js';
import {createEndpointCooldowns} from './endpoint-cooldowns.js';
import {createEndpointReachability} from './endpoint-reachability.js';
import {EndpointDecision} from './endpoint-decision.js';
import {HealthEvent, HealthState} from './endpoint-health.js';
import {
	createRun, isRunOf, overdueFactorOf, remainingTimesOf, RunResult, RunState, type Run, type RunRequest,
} from './endpoint-run.js';
import {createEndpointPolls, type SentPoll} from './endpoint-polls.js';
import {createEndpointRuns} from './endpoint-runs.js';
import {createEndpointStarts} from './endpoint-starts.js';
import {createEndpointStops} from './endpoint-stops.js';
import {createEndpointLeases} from './endpoint-leases.js';
import {
	maximumLeaseOf, minimumLeaseMilliseconds, shortLeaseMilliseconds, yieldMilliseconds,
} from './maximum-lease.js';
import type {EndpointCapacity} from './place-tasks.js';
import {createOrphanedRuns} from './orphaned-runs.js';
import {createReportOrders, ReportOrder} from './report-order.js';

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
	/** Whether a poll has reported what runs there, or no run of an earlier owner can be active any more. */
	readonly areRunsKnown: () => boolean;
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

/** Age from which the reported processor use shows whether a run makes progress. */
const stallAgeMilliseconds = 700;
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
	const maximumLease = maximumLeaseOf(options.holdMaximumMilliseconds);
	const runs = createEndpointRuns({room: firstEntry.room, holdMaximumMilliseconds: options.holdMaximumMilliseconds, onChange: options.onChange});
	const orphans = createOrphanedRuns();
	let entry = firstEntry;
	let acknowledged = 0;
	/** Token of the last answered poll; since then the endpoint rejects requests with lower tokens. */
	let polledToken = 0;
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
		calls, runs, reachability, token: options.token, acknowledged: () => acknowledged, isSettled: options.isSettled, hasOrphans,
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

	const {stopUntilEnded} = createEndpointStops({
		calls, runs, token: options.token, startedAt: reportOrders.startedAt, haveLeasesExpired: () => leases.haveExpired(), isClosed: hasClosed,
		observeClock, pollNow: polls.pollNow, onFenced: options.onFenced, onOtherEndpoint: closeForOtherEndpoint,
	});

	const starts = createEndpointStarts({
		calls, runs, cooldowns, token: options.token, nextLease, observeClock, pollNow: polls.pollNow, stopUntilEnded,
		describe, onDecision, onFenced: options.onFenced, onOtherEndpoint: closeForOtherEndpoint,
	});

	/** Records an end. Returns whether it is of a run of an earlier owner. */
	const onEnded = (ended: EndedRun): boolean => {
		acknowledged = Math.max(acknowledged, ended.sequence);
		const run = runs.findReported(ended);
		if (!run) {
			orphans.recordEnd(ended);
			return true;
		}

		const milliseconds = performance.now() - run.startSentAt;
		if (ended.end === RunEnd.Succeeded) {
			cooldowns.record(HealthEvent.Succeeded);
			options.onRunTime(run.estimateMilliseconds, milliseconds);
			runs.settle(run, RunResult.Succeeded);
		} else if (ended.end === RunEnd.Failed) {
			cooldowns.record(HealthEvent.Failed);
			runs.settle(run, RunResult.Failed);
		} else {
			runs.settle(run, RunResult.Lost);
		}

		return false;
	};

	const stopStalled = (run: Run, active: ActiveRun): void => {
		const age = performance.now() - run.startSentAt;
		if (active.processorInUse !== 0 || age < stallAgeMilliseconds || run.state !== RunState.Running) {
			return;
		}

		onDecision(EndpointDecision.RunStalled, {...describe(run.task, run.attempt), ageMilliseconds: Math.round(age)});
		cooldowns.record(HealthEvent.Stalled);
		void stopUntilEnded(run);
	};

	const stopOrphan = async ({task, attempt}: ActiveRun): Promise<void> => {
		onDecision(EndpointDecision.OrphanStopped, {...describe(task, attempt), token: options.token(), sinceClaimMilliseconds: Math.round(performance.now() - options.ownedSince())});
		await calls.stop({task, attempt, fencingToken: options.token()});
	};

	const reconcileRuns = (active: readonly ActiveRun[], polledAt: number): void => {
		for (const run of runs.all()) {
			const reported = active.find(one => isRunOf(run, one));
			if (reported) {
				run.isAccepted = true;
				if (run.state === RunState.Starting) {
					run.state = RunState.Running;
					run.visibleAt = performance.now();
				}

				stopStalled(run, reported);
			} else if (run.state !== RunState.Starting && run.visibleAt < polledAt) {
				if (run.state === RunState.Running) {
					onDecision(EndpointDecision.RunLost, describe(run.task, run.attempt));
				}

				runs.settle(run, RunResult.Lost);
			}
		}

		orphans.install(active.filter(one => runs.findReported(one) === undefined));
	};

	/**
	Begins anew with another incarnation, which knows nothing of before. A run that it doesn't list is lost with the earlier one, unless the start is still to be carried out: then it has to be stopped here too.
	*/
	const beginIncarnation = (earlierStartedAt: number, report: EndpointReport): void => {
		onDecision(EndpointDecision.OtherIncarnation, {
			endpoint: entry.identifier, startedAt: earlierStartedAt, nextStartedAt: reportOrders.startedAt(), runs: runs.count(), runsThere: report.active.length,
		});
		leases = createEndpointLeases(options.holdMaximumMilliseconds);
		acknowledged = 0;
		cooldowns.reset();
		for (const run of runs.all()) {
			if (!run.isAccepted && run.state === RunState.Stopping) {
				run.state = RunState.Starting;
				void stopUntilEnded(run);
			}
		}

		polls.abandon();
	};

	function onReport(report: EndpointReport, {polledAt, token}: SentPoll): void {
		const earlierStartedAt = reportOrders.startedAt();
		const order = reportOrders.record({startedAt: report.startedAt ?? entry.startedAt, clockMilliseconds: report.clockMilliseconds}, polledAt);
		if (order === ReportOrder.Overtaken) {
			return;
		}

		if (order === ReportOrder.OtherIncarnation) {
			beginIncarnation(earlierStartedAt, report);
			polledToken = 0;
		}

		if (polledToken < token) {
			polledToken = token;
			options.onChange();
		}

		const wasUnavailable = !reachability.isReachable() || hasOrphans();
		leases.observe(report.clockMilliseconds);
		if (reachability.isSilent()) {
			onDecision(EndpointDecision.Regained, {endpoint: entry.identifier});
		}

		reachability.recordAnswer();
		let hasEarlierEnds = false;
		for (const ended of report.ended) {
			hasEarlierEnds = onEnded(ended) || hasEarlierEnds;
		}

		reconcileRuns(report.active, polledAt);
		if (hasOrphans() || hasEarlierEnds) {
			options.onOrphans();
		}

		if (options.isSettled()) {
			for (const orphan of orphans.active()) {
				void stopOrphan(orphan);
			}
		}

		if (wasUnavailable) {
			options.onChange();
		}
	}

	/** Whether a run that no job waits for may still be active: not at another incarnation, nor once all leases of a silent endpoint have ended. */
	const canRunStrays = (): boolean =>
		!isClosed && !(reachability.isSilent() && leases.haveExpired() && performance.now() > options.ownedSince() + maximumLease + yieldMilliseconds);

	const onMissedPoll = (outcome: CallOutcome): void => {
		if (outcome === CallOutcome.OtherEndpoint) {
			closeForOtherEndpoint();
		} else if (outcome === CallOutcome.Fenced) {
			options.onFenced();
		}

		const wasSilent = reachability.isSilent();
		reachability.recordMissedPoll(outcome === CallOutcome.Unknown);
		if (!reachability.isSilent()) {
			return;
		}

		if (!wasSilent) {
			onDecision(EndpointDecision.Silent, {endpoint: entry.identifier, outcome, runs: runs.count()});
		}

		if (leases.haveExpired()) {
			runs.settleAllAsLost();
		}
	};

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
			const isPolled = polledToken === options.token();
			// The next incarnation may have another room.
			const isListed = entry.startedAt === reportOrders.startedAt();
			const isReachable = isPolled && isListed && reachability.isReachable() && !isClosed && !runs.hasTooManyUnconfirmedStarts();
			const acceptsTasks = !entry.isDraining && cooldowns.isCapacityExpected(now) && state !== HealthState.CoolingDown && runs.leaseLimitAt() > now + minimumLeaseMilliseconds;
			if (!isReachable || !acceptsTasks || hasOrphans()) {
				return undefined;
			}

			return {
				endpoint: incarnationOf(entry),
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
		areRunsKnown() {
			const isPolled = polledToken === options.token() && !reachability.isSilent() && !hasOrphans();
			return isPolled || isClosed || performance.now() > options.ownedSince() + maximumLease + yieldMilliseconds;
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
		async run() {
			while (!hasClosed()) {
				const reply = await polls.pollUntilEnd();
				if (isClosed) {
					break;
				}

				if (reply?.report) {
					onReport(reply.report, reply);
				} else if (reply) {
					onMissedPoll(reply.outcome);
					if (reachability.isBackingOff()) {
						await awaitRetry();
					}
				}
			}

			calls.close();
		},
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
		overdueFactor: () => overdueFactorOf(runs.all()),
	};
};
