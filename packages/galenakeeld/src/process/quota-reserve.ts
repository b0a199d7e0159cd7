import {performance} from 'node:perf_hooks';
import type {AdmissionLoad} from './admission.js';
import {createSlotDemand} from './slot-demand.js';
import type {SlotLedger} from './slot-ledger.js';
import {createStandingQueue} from './standing-queue.js';
import {TaskLength, type WaitingOrder} from './task-queue.js';
import type {TeamLoads} from './team-loads.js';

/** Slots kept free beyond the mean need of the teams within their quota, in standard deviations of a Poisson process. */
const reserveDeviations = 2.5;
/** Part of that which is kept when slots are lent to a peer, in standard deviations. */
const lendingDeviations = 1;
/** Part of its quota of the own slots that a team over its quota may always hold. */
const assuredQuotaShare = 0.5;

/**
Keeps slots for the teams within their quota while others offer more than theirs.
*/
export type QuotaReserve = {
	/** Tells whether a task of a team may take a free slot. */
	readonly mayStart: (team: string) => boolean;
	/** Counts a task of a team as running until the function that is returned is called. */
	readonly start: (team: string) => () => void;
	/** Waiting tasks of the teams within their quota, of one length or of all. */
	readonly waitingWithinQuota: (length?: TaskLength) => number;
	/** Corrects what a request meets by the slots that are kept. */
	readonly limitLoad: (team: string, load: AdmissionLoad) => AdmissionLoad;
	/** Slots that the teams within their quota lack while others are over theirs. */
	readonly shortfall: () => number;
	/** Free slots that may be lent for teams within their quota while others are over theirs. */
	readonly surplus: () => number;
	/**
	Follows the load; called at a fixed interval.

	@param capacity Work in a millisecond that is done for short tasks.
	*/
	readonly sweep: (capacity: number, maximumQueueMilliseconds: number) => void;
};

/**
Creates the reserve of an instance without tasks.

Teams over their quota hold what the others leave, with a reserve for the usual variation, and never less than half of their quota of the own slots.

@example
```
const reserve = createQuotaReserve({ledger, order, loads});
const end = reserve.start('payroll');
```
*/
export const createQuotaReserve = ({ledger, order, loads}: {
	readonly ledger: SlotLedger;
	readonly order: Pick<WaitingOrder, 'size' | 'count' | 'countOf' | 'work'>;
	readonly loads: Pick<TeamLoads, 'over' | 'quotaOf'>;
}): QuotaReserve => {
	const demandWithinQuota = createSlotDemand();
	const busy = new Map<string, number>();
	let owned = 0;
	const queue = createStandingQueue(performance.now());

	const sumOver = (measure: (team: string) => number): number => {
		let sum = 0;
		for (const team of loads.over()) {
			sum += measure(team);
		}

		return sum;
	};

	const busyOf = (team: string): number => busy.get(team) ?? 0;

	/** Own slots that teams over their quota may hold whatever the others need. */
	const assuredSlots = (): number => assuredQuotaShare * owned * sumOver(loads.quotaOf);

	const workOf = (team: string): number => order.work(TaskLength.Short, team) + order.work(TaskLength.Long, team);

	const busyOverQuota = (): number => sumOver(busyOf);

	const waitingWithinQuota = (length?: TaskLength): number =>
		(length === undefined ? order.size() : order.count(length)) - sumOver(team => order.countOf(team, length));

	/** Slots needed for the teams within their quota, and by the others as far as their quota goes. */
	const neededSlots = (deviations?: number): number => demandWithinQuota.target(deviations) + Math.min(assuredSlots(), sumOver(team => busyOf(team) + order.countOf(team)));

	const countOwned = (): number => {
		let count = 0;
		for (const slots of ledger.inUse()) {
			count += slots.isOpen ? slots.owned : 0;
		}

		return count;
	};

	/** Slots that teams over their quota may hold. */
	const overQuotaLimit = (): number => Math.max(1, Math.floor(assuredSlots()), ledger.usable() - Math.ceil(demandWithinQuota.target(reserveDeviations)));

	const mayStart = (team: string): boolean => !loads.over().has(team) || busyOverQuota() < overQuotaLimit();

	return {
		mayStart,
		start(team) {
			busy.set(team, busyOf(team) + 1);
			return () => {
				const left = busyOf(team) - 1;
				if (left > 0) {
					busy.set(team, left);
				} else {
					busy.delete(team);
				}
			};
		},
		waitingWithinQuota,
		limitLoad(team, load) {
			if (loads.over().size === 0) {
				return load;
			}

			if (loads.over().has(team)) {
				return {...load, free: mayStart(team) ? load.free : 0, capacity: load.capacity * Math.min(1, overQuotaLimit() / Math.max(1, ledger.usable()))};
			}

			const waitingWork = Math.max(load.teamWork, load.waitingWork - sumOver(workOf));
			return {...load, waitingWork, isStanding: queue.isStanding(performance.now())};
		},
		shortfall() {
			return loads.over().size === 0 ? 0 : Math.max(0, ledger.free() > 0 ? 0 : waitingWithinQuota(), Math.ceil(neededSlots() - ledger.usable()));
		},
		surplus() {
			return loads.over().size === 0 || waitingWithinQuota() > 0 ? 0 : Math.max(0, Math.min(ledger.free(), Math.floor(ledger.usable() - neededSlots(lendingDeviations))));
		},
		sweep(capacity, maximumQueueMilliseconds) {
			const work = order.work(TaskLength.Short) - sumOver(team => order.work(TaskLength.Short, team));
			queue.observe(work / capacity, maximumQueueMilliseconds, performance.now());
			demandWithinQuota.observe(ledger.busy() - busyOverQuota() + waitingWithinQuota());
			owned = loads.over().size === 0 ? 0 : countOwned();
		},
	};
};
