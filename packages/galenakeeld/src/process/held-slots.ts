import {countOf, type SlotLease} from './slot-lease.js';
import {borrowedInUse, type SlotLedger} from './slot-ledger.js';

/**
The slots held from one lender. Times are on the monotonic clock, in milliseconds.
*/
export type Holding = {
	readonly lender: string;
	readonly until: number;
	/** Time since which none of these slots has been in use. */
	readonly idleSince: number;
};

/**
Slots of one service that this instance has borrowed from others.
*/
export type HeldSlots = {
	/** Replaces the leases held from a lender with those that it has now granted. */
	readonly replaceLeases: (lender: string, leases: readonly SlotLease[], until: number) => void;
	/** The leases from a lender, reduced to the slots that were in use since the last call of `replaceLeases` for it. */
	readonly leasesToRenew: (lender: string) => readonly SlotLease[];
	/** Releases the slots of a lender that are not in use, and returns them. */
	readonly releaseIdle: (lender: string) => readonly SlotLease[];
	readonly lenders: () => readonly Holding[];
	/** Ends expired leases and records the peak use of the others; called at a fixed interval. */
	readonly sweep: (now: number) => void;
	readonly leaseMilliseconds: number;
};

type Lender = {readonly counts: Map<string, number>; readonly peaks: Map<string, number>; until: number; idleSince: number};

/**
Creates the record of borrowed slots, without leases.

@param leaseMilliseconds Length of a lease.

@example
```
const held = createHeldSlots(ledger, 3000);
held.replaceLeases('entry-1', [{endpoint: '10.0.0.1:80', count: 2, busy: 0}], performance.now() + 3000);
```
*/
export const createHeldSlots = (ledger: SlotLedger, leaseMilliseconds: number): HeldSlots => {
	const lenders = new Map<string, Lender>();

	const untilOf = (endpoint: string): number => Math.min(...[...lenders.values()].filter(({counts}) => counts.has(endpoint)).map(({until}) => until));

	const setHeld = (lender: Lender, endpoint: string, count: number): void => {
		const before = countOf(lender.counts, endpoint);
		if (count > 0) {
			lender.counts.set(endpoint, count);
		} else {
			lender.counts.delete(endpoint);
		}

		const slots = ledger.slotsOf(endpoint);
		if (slots) {
			ledger.change(slots, {borrowed: Math.max(0, slots.borrowed + count - before), borrowedUntil: untilOf(endpoint)});
		}
	};

	/** Slots of a lender that are in use; slots of the other lenders are counted as used first. */
	const busyOf = (lender: Lender, endpoint: string): number => {
		const slots = ledger.slotsOf(endpoint);
		const own = countOf(lender.counts, endpoint);
		return slots ? Math.max(0, Math.min(own, borrowedInUse(slots) - (slots.borrowed - own))) : 0;
	};

	const neededOf = (lender: Lender, endpoint: string): SlotLease => {
		const busy = busyOf(lender, endpoint);
		return {endpoint, count: Math.min(countOf(lender.counts, endpoint), Math.max(busy, countOf(lender.peaks, endpoint))), busy};
	};

	const end = (name: string, lender: Lender): void => {
		for (const endpoint of lender.counts.keys()) {
			setHeld(lender, endpoint, 0);
		}

		lenders.delete(name);
	};

	const recordPeaks = (lender: Lender, now: number): void => {
		for (const endpoint of lender.counts.keys()) {
			const busy = busyOf(lender, endpoint);
			lender.peaks.set(endpoint, Math.max(busy, countOf(lender.peaks, endpoint)));
			lender.idleSince = busy > 0 ? now : lender.idleSince;
		}
	};

	return {
		leaseMilliseconds,
		replaceLeases(name, leases, until) {
			const lender = lenders.get(name) ?? {
				counts: new Map<string, number>(), peaks: new Map<string, number>(), until, idleSince: until,
			};
			lenders.set(name, lender);
			lender.until = until;
			lender.idleSince = until - leaseMilliseconds;
			lender.peaks.clear();
			const granted = new Map(leases.map(({endpoint, count}) => [endpoint, count]));
			for (const endpoint of new Set([...lender.counts.keys(), ...granted.keys()])) {
				setHeld(lender, endpoint, countOf(granted, endpoint));
			}

			if (lender.counts.size === 0) {
				lenders.delete(name);
			}
		},
		leasesToRenew(name) {
			const lender = lenders.get(name);
			return lender ? [...lender.counts.keys()].map(endpoint => neededOf(lender, endpoint)).filter(({count}) => count > 0) : [];
		},
		releaseIdle(name) {
			const lender = lenders.get(name);
			if (!lender) {
				return [];
			}

			const returned = [...lender.counts]
				.map(([endpoint, count]) => ({endpoint, count: count - busyOf(lender, endpoint), busy: 0}))
				.filter(({count}) => count > 0);
			for (const {endpoint, count} of returned) {
				setHeld(lender, endpoint, countOf(lender.counts, endpoint) - count);
			}

			if (lender.counts.size === 0) {
				lenders.delete(name);
			}

			return returned;
		},
		lenders: () => [...lenders].map(([lender, {until, idleSince}]) => ({lender, until, idleSince})),
		sweep(now) {
			for (const [name, lender] of lenders) {
				recordPeaks(lender, now);
				if (now >= lender.until) {
					end(name, lender);
				}
			}
		},
	};
};
