import type {GuardStatus} from '@galenakeel/model/process/daemon-status.js';
import {GuardReason, GuardState} from '@galenakeel/model/process/guard-state.js';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import type {AttemptReport} from '../request/run-task.js';
import {
	AttemptResult, createEndpointGuard, type EndpointGuard, type GuardLimits,
} from './endpoint-guard.js';
import type {RunningTaskSummary, RunningTasks} from './running-tasks.js';
import type {EndpointSlots, SlotLedger} from './slot-ledger.js';

/** Share of a service's endpoints with server errors above which the errors are attributed to the tasks, not to the endpoints. */
const maximumOpenShare = 0.5;
/** An endpoint counts as frozen after this multiple of the longest expected run time, plus the margin, without an answer. */
const frozenFactor = 1.5;
const frozenMarginMilliseconds = 100;
/** The longest expected run time is a 99th percentile, so 1 % of tasks exceed it. */
const expectedOverdueShare = 0.01;
/** Significance level: an endpoint counts as frozen when the probability that all its overdue tasks are merely long is at most this. */
const longTasksSignificance = 0.01;

/**
The circuit breakers of one service's endpoints.
*/
export type EndpointGuards = {
	/** Records the outcome of an attempt at a task. */
	readonly report: (attempt: AttemptReport, now: number) => void;
	/** Detects frozen endpoints and allows probes that are due; called at a fixed interval. */
	readonly sweep: (now: number) => void;
	/** State of an endpoint's breaker, with the reason unless it is closed. */
	readonly statusOf: (address: string) => GuardStatus;
};

/**
Classifies an attempt for the circuit breaker of its endpoint; `undefined` when it is no evidence for or against the endpoint.

@param maximumExpectedMilliseconds Longest expected run time of the task on the endpoint.
*/
export const attemptResultOf = (attempt: AttemptReport, maximumExpectedMilliseconds: number): AttemptResult | undefined => {
	if (attempt.fault === undefined) {
		return attempt.isSuccess ? AttemptResult.Answered : AttemptResult.ServerError;
	}

	if (attempt.fault === FaultKind.EndpointUnreachable || attempt.fault === FaultKind.EndpointBroken) {
		return AttemptResult.NoAnswer;
	}

	// A time-out before the longest expected run time may come from a short deadline of the caller and is no evidence against the endpoint.
	const isTimeout = attempt.fault === FaultKind.EndpointTimeout && attempt.durationMilliseconds >= maximumExpectedMilliseconds;
	return isTimeout ? AttemptResult.NoAnswer : undefined;
};

type EndpointEntry = readonly [slots: EndpointSlots, run: RunningTaskSummary];

const overdueShareOf = (entries: readonly EndpointEntry[]): number => {
	let running = 0;
	let overdue = 0;
	for (const [, run] of entries) {
		running += run.running;
		overdue += run.overdue;
	}

	return overdue / running;
};

/**
Creates the circuit breakers of the ledger's endpoints. They set the `guardLimit` of each endpoint in the ledger.

@param options.maximumExpectedRunTime Returns the maximum expected run time of a kind on an endpoint, in milliseconds.
*/
export const createEndpointGuards = (options: {
	readonly ledger: SlotLedger;
	readonly running: RunningTasks;
	readonly limits: () => GuardLimits;
	readonly maximumExpectedRunTime: (slots: EndpointSlots, kind: string) => number;
}): EndpointGuards => {
	const {ledger, running} = options;
	const guards = new Map<string, EndpointGuard>();

	const guardOf = (address: string): EndpointGuard => {
		let guard = guards.get(address);
		if (!guard) {
			guard = createEndpointGuard(options.limits);
			guards.set(address, guard);
		}

		return guard;
	};

	const isFailing = (guard: EndpointGuard): boolean => guard.state() !== GuardState.Closed && guard.reason() === GuardReason.ServerErrors;

	/** Whether most endpoints answer with errors; blocking all of them would take the whole service down. */
	const isServiceFailing = (): boolean => {
		const failing = [...guards.values()].filter(guard => isFailing(guard)).length;
		return failing > 1 && failing > ledger.inUse().length * maximumOpenShare;
	};

	const limitOf = (guard: EndpointGuard, slots: EndpointSlots): number => {
		switch (guard.state()) {
			case GuardState.Closed: {
				return Infinity;
			}

			case GuardState.Open: {
				return isFailing(guard) && isServiceFailing() ? Infinity : 0;
			}

			case GuardState.HalfOpen: {
				// The limit is raised above the hanging tasks, which would otherwise block the probe, and stays while the probe runs.
				return slots.guardLimit === 0 ? slots.busy + 1 : slots.guardLimit;
			}
		}
	};

	const apply = (address: string, guard: EndpointGuard): void => {
		const slots = ledger.slotsOf(address);
		if (!slots) {
			guards.delete(address);
			return;
		}

		const guardLimit = limitOf(guard, slots);
		if (guardLimit !== slots.guardLimit) {
			ledger.change(slots, {guardLimit});
		}
	};

	const isSilent = ([{endpoint}, {oldest}]: EndpointEntry, now: number): boolean => {
		const silentSince = Math.max(oldest.startedAt, guardOf(endpoint.address).answeredAt());
		return now - silentSince > (oldest.maximumExpectedMilliseconds * frozenFactor) + frozenMarginMilliseconds;
	};

	/**
	Returns whether long tasks rather than a frozen endpoint may explain the silence. That is so when none of several endpoints answers. Otherwise the share of overdue tasks on the answering endpoints is taken as the probability that a task is merely long, and the endpoint's overdue tasks as independent of each other.
	*/
	const isExplainedByLongTasks = ([, {overdue}]: EndpointEntry, answering: readonly EndpointEntry[], silent: number): boolean => {
		const used = ledger.inUse().length;
		return answering.length === 0
			? used > 1 && silent >= used
			: Math.max(expectedOverdueShare, overdueShareOf(answering)) ** overdue > longTasksSignificance;
	};

	const detectFrozen = (now: number): void => {
		const runs = [...running.byEndpoint(now)];
		const silent = runs.filter(run => isSilent(run, now));
		const answering = runs.filter(run => !silent.includes(run));
		for (const run of silent) {
			const guard = guardOf(run[0].endpoint.address);
			if (guard.state() === GuardState.Closed && !isExplainedByLongTasks(run, answering, silent.length)) {
				guard.markFrozen(now);
			}
		}
	};

	return {
		report(attempt, now) {
			const {address} = attempt.endpoint;
			const slots = ledger.slotsOf(address);
			const result = slots && attemptResultOf(attempt, options.maximumExpectedRunTime(slots, attempt.kind));
			if (result) {
				const guard = guardOf(address);
				guard.record(result, now);
				apply(address, guard);
			}
		},
		sweep(now) {
			detectFrozen(now);
			for (const [address, guard] of guards) {
				guard.allowProbe(now);
				apply(address, guard);
			}
		},
		statusOf(address) {
			const guard = guards.get(address);
			const state = guard?.state() ?? GuardState.Closed;
			return state === GuardState.Closed ? {state} : {state, reason: guard!.reason()};
		},
	};
};
