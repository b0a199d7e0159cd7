import {performance} from 'node:perf_hooks';
import type {AdmissionLoad} from './admission.js';
import {createSlotDemand} from './slot-demand.js';
import type {SlotLedger} from './slot-ledger.js';
import {createStandingQueueDetector} from './standing-queue-detector.js';
import {TaskLength, type WaitingOrder} from './task-queue.js';
import type {TeamLoads} from './team-loads.js';

/** Slots reserved above the mean demand of the teams within their quota, in standard deviations of a Poisson process. */
const reserveDeviations = 2.5;
/** Smaller reserve that is kept when slots are lent to a peer, in standard deviations. */
const lendingDeviations = 1;
/** Share of its quota of this instance's own slots that a team over its quota may always hold. */
const assuredQuotaShare = 0.5;

/**
Reserves slots for the teams within their quota while other teams exceed theirs.
*/
export type QuotaReserve = {
	/** Returns whether a task of a team may take a free slot. */
	readonly mayStart: (team: string) => boolean;
	/** Counts a task of a team as running until the returned function is called. */
	readonly start: (team: string) => () => void;
	/** Waiting tasks of the teams within their quota, of one length or of all. */
	readonly waitingWithinQuota: (length?: TaskLength) => number;
	/** Adjusts the load that admission sees for a request of a team by the reserved slots. */
	readonly limitLoad: (team: string, load: AdmissionLoad) => AdmissionLoad;
	/** Slots that are missing for the teams within their quota; 0 while no team is over its quota. */
	readonly shortfall: () => number;
	/** Free slots that may be lent for teams within their quota; 0 while no team is over its quota. */
	readonly surplus: () => number;
	/**
	Updates the measured demand and queue; called at a fixed interval.

	@param capacity Work per millisecond that is done for short tasks.
	*/
	readonly sweep: (capacity: number, maximumQueueMilliseconds: number) => void;
};

/**
Creates the reserve of an instance that runs no tasks.

Teams over their quota share the slots that remain after the demand of the other teams and a reserve for its usual variation. They may always hold half of their quota of this instance's own slots.

@example
```
const reserve = createQuotaReserve({ledger, order, loads});
const end = reserve.start('payroll');
```
*/
export const createQuotaReserve = ({ledger, order, loads}: {
	readonly ledger: SlotLedger;
	readonly order: Pick<WaitingOrder, 'size' | 'count' | 'countOf' | 'work'>;
	readonly loads: Pick<TeamLoads, 'teamsOverQuota' | 'quotaOf'>;
}): QuotaReserve => {
	const demandWithinQuota = createSlotDemand();
	const busy = new Map<string, number>();
	let owned = 0;
	const queue = createStandingQueueDetector(performance.now());

	const sumOver = (measure: (team: string) => number): number => {
		let sum = 0;
		for (const team of loads.teamsOverQuota()) {
			sum += measure(team);
		}

		return sum;
	};

	const busyOf = (team: string): number => busy.get(team) ?? 0;

	/** Own slots that teams over their quota may hold regardless of the demand of the others. */
	const assuredSlots = (): number => assuredQuotaShare * owned * sumOver(loads.quotaOf);

	const workOf = (team: string): number => order.work(TaskLength.Short, team) + order.work(TaskLength.Long, team);

	const busyOverQuota = (): number => sumOver(busyOf);

	const waitingWithinQuota = (length?: TaskLength): number =>
		(length === undefined ? order.size() : order.count(length)) - sumOver(team => order.countOf(team, length));

	/** Slots needed by the teams within their quota, plus those that the others use or wait for, up to the assured slots. */
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

	const mayStart = (team: string): boolean => !loads.teamsOverQuota().has(team) || busyOverQuota() < overQuotaLimit();

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
			if (loads.teamsOverQuota().size === 0) {
				return load;
			}

			if (loads.teamsOverQuota().has(team)) {
				return {...load, free: mayStart(team) ? load.free : 0, capacity: load.capacity * Math.min(1, overQuotaLimit() / Math.max(1, ledger.usable()))};
			}

			const waitingWork = Math.max(load.teamWork, load.waitingWork - sumOver(workOf));
			return {...load, waitingWork, isStanding: queue.isStanding(performance.now())};
		},
		shortfall() {
			return loads.teamsOverQuota().size === 0 ? 0 : Math.max(0, ledger.free() > 0 ? 0 : waitingWithinQuota(), Math.ceil(neededSlots() - ledger.usable()));
		},
		surplus() {
			return loads.teamsOverQuota().size === 0 || waitingWithinQuota() > 0 ? 0 : Math.max(0, Math.min(ledger.free(), Math.floor(ledger.usable() - neededSlots(lendingDeviations))));
		},
		sweep(capacity, maximumQueueMilliseconds) {
			const work = order.work(TaskLength.Short) - sumOver(team => order.work(TaskLength.Short, team));
			queue.observe(work / capacity, maximumQueueMilliseconds, performance.now());
			demandWithinQuota.observe(ledger.busy() - busyOverQuota() + waitingWithinQuota());
			owned = loads.teamsOverQuota().size === 0 ? 0 : countOwned();
		},
	};
};
