import type {GuardStatus} from '@galenakeel/model/process/daemon-status.js';
import {GuardReason, GuardState} from '@galenakeel/model/process/guard-state.js';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import type {AttemptReport} from '../request/run-task.js';
import {
	AttemptResult, createEndpointGuard, type EndpointGuard, type GuardLimits,
} from './endpoint-guard.js';
import type {RunningTaskSummary, RunningTasks} from './running-tasks.js';
import type {EndpointSlots, SlotLedger} from './slot-ledger.js';

/** Share of a service's endpoints with server errors above which the tasks are at fault rather than the endpoints. */
const maximumOpenShare = 0.5;
/** Times the longest expected run time without any answer after which an endpoint counts as frozen. */
const frozenFactor = 1.5;
const frozenMarginMilliseconds = 100;
/** Share of tasks that are overdue by the definition of the longest run time, a 99th percentile. */
const expectedOverdueShare = 0.01;
/** Probability below which it is no chance that every overdue task of an endpoint is merely long. */
const chanceOfLongTasks = 0.01;

/**
The circuit breakers of one service's endpoints.
*/
export type EndpointGuards = {
	/** Learns from an attempt at a task. */
	readonly report: (attempt: AttemptReport, now: number) => void;
	/** Looks for frozen endpoints and for probes that are due. */
	readonly sweep: (now: number) => void;
	/** State of an endpoint's breaker, and why it is not closed. */
	readonly statusOf: (address: string) => GuardStatus;
};

/**
Tells how an attempt speaks for its endpoint; `undefined` when it says nothing.

@param longestMilliseconds Longest run time to be expected of the task on the endpoint.
*/
export const resultOf = (attempt: AttemptReport, longestMilliseconds: number): AttemptResult | undefined => {
	if (attempt.fault === undefined) {
		return attempt.isSuccess ? AttemptResult.Answered : AttemptResult.ServerError;
	}

	if (attempt.fault === FaultKind.EndpointUnreachable || attempt.fault === FaultKind.EndpointBroken) {
		return AttemptResult.NoAnswer;
	}

	// The time that the caller granted may have been short.
	const isTimeout = attempt.fault === FaultKind.EndpointTimeout && attempt.durationMilliseconds >= longestMilliseconds;
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
Creates circuit breakers that keep the limits of the ledger's endpoints.

@param options.longestRun Longest run time to be expected of a kind on an endpoint, in milliseconds.
*/
export const createEndpointGuards = (options: {
	readonly ledger: SlotLedger;
	readonly running: RunningTasks;
	readonly limits: () => GuardLimits;
	readonly longestRun: (slots: EndpointSlots, kind: string) => number;
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

	/** When most endpoints answer with errors, keeping work from them would only take the service down. */
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
				// Tasks that hang must not keep the probe out; a probe on its way keeps the limit.
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
	Tells whether the silence of an endpoint may come from long tasks: none of several answers, or as many tasks are overdue where answers come that those of the endpoint may be long by chance, each on its own.
	*/
	const isSilenceOfTasks = ([, {overdue}]: EndpointEntry, answering: readonly EndpointEntry[], silent: number): boolean => {
		const used = ledger.inUse().length;
		return answering.length === 0
			? used > 1 && silent >= used
			: Math.max(expectedOverdueShare, overdueShareOf(answering)) ** overdue > chanceOfLongTasks;
	};

	const freezeSilent = (now: number): void => {
		const runs = [...running.byEndpoint(now)];
		const silent = runs.filter(run => isSilent(run, now));
		const answering = runs.filter(run => !silent.includes(run));
		for (const run of silent) {
			const guard = guardOf(run[0].endpoint.address);
			if (guard.state() === GuardState.Closed && !isSilenceOfTasks(run, answering, silent.length)) {
				guard.freeze(now);
			}
		}
	};

	return {
		report(attempt, now) {
			const {address} = attempt.endpoint;
			const slots = ledger.slotsOf(address);
			const result = slots && resultOf(attempt, options.longestRun(slots, attempt.kind));
			if (result) {
				const guard = guardOf(address);
				guard.record(result, now);
				apply(address, guard);
			}
		},
		sweep(now) {
			freezeSilent(now);
			for (const [address, guard] of guards) {
				guard.look(now);
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
