import {countOf, type SlotLease} from './slot-lease.js';
import {freeSlotsOf, type EndpointSlots, type SlotLedger} from './slot-ledger.js';

/**
Slots that a borrower requests in addition to those that it holds.
*/
export type SlotRequest = {
	readonly count: number;
	/** Slots among `count` that are for teams within their quota. */
	readonly withinQuota: number;
};

/**
Slots of one service that this instance lends to others. Times are on the monotonic clock, in milliseconds.
*/
export type LentSlots = {
	/**
	Renews a borrower's leases and lends it further slots.

	While tasks of teams within their quota wait on this instance, no further slots are lent, and only slots on which the borrower runs a task are renewed.

	@returns All leases that the borrower holds after the call.
	*/
	readonly lend: (borrower: string, held: readonly SlotLease[], request: SlotRequest, now: number) => readonly SlotLease[];
	/** Ends the leases on slots that a borrower returns. */
	readonly reclaim: (borrower: string, returned: readonly SlotLease[]) => void;
	/** Ends expired leases; called at a fixed interval. */
	readonly sweep: (now: number) => void;
	readonly leaseMilliseconds: number;
};

type Borrower = {readonly counts: Map<string, number>; until: number};

/**
Creates the record of leases that an instance grants on the slots of a ledger, without leases.

@param options.surplus Free slots that may be lent for any task.
@param options.surplusWithinQuota Free slots that may be lent for tasks of teams within their quota.
@param options.hasShortage Returns whether tasks of teams within their quota wait on this instance.
@param options.onReturn Called when lent slots have been returned or their leases have expired.

@example
```
const lent = createLentSlots(ledger, {leaseMilliseconds: 3000, surplus, surplusWithinQuota, hasShortage, onReturn: dispatcher.startNext});
const leases = lent.lend('entry-2', [], {count: 4, withinQuota: 0}, performance.now());
```
*/
export const createLentSlots = (ledger: SlotLedger, options: {
	readonly leaseMilliseconds: number;
	readonly surplus: () => number;
	readonly surplusWithinQuota: () => number;
	readonly hasShortage: () => boolean;
	readonly onReturn: () => void;
}): LentSlots => {
	const borrowers = new Map<string, Borrower>();

	const setLent = (borrower: Borrower, endpoint: string, count: number): void => {
		const slots = ledger.slotsOf(endpoint);
		const difference = count - countOf(borrower.counts, endpoint);
		if (slots && difference !== 0) {
			ledger.change(slots, {lent: Math.max(0, slots.lent + difference)});
		}

		if (count > 0) {
			borrower.counts.set(endpoint, count);
		} else {
			borrower.counts.delete(endpoint);
		}
	};

	const renew = (borrower: Borrower, held: readonly SlotLease[]): void => {
		const hasShortage = options.hasShortage();
		const renewed = new Map(held.map(({endpoint, count, busy}) => [endpoint, hasShortage ? Math.min(count, busy) : count]));
		for (const endpoint of new Set([...borrower.counts.keys(), ...renewed.keys()])) {
			setLent(borrower, endpoint, countOf(renewed, endpoint));
		}
	};

	const lendable = (slots: EndpointSlots): number => Math.min(freeSlotsOf(slots), slots.owned - slots.lent);

	const grant = (borrower: Borrower, count: number): void => {
		let remaining = count;
		for (const slots of ledger.inUse().toSorted((first, second) => lendable(second) - lendable(first))) {
			const part = Math.min(remaining, lendable(slots));
			if (part <= 0) {
				return;
			}

			const {address} = slots.endpoint;
			setLent(borrower, address, countOf(borrower.counts, address) + part);
			remaining -= part;
		}
	};

	const end = (name: string, borrower: Borrower): void => {
		for (const endpoint of borrower.counts.keys()) {
			setLent(borrower, endpoint, 0);
		}

		borrowers.delete(name);
	};

	return {
		leaseMilliseconds: options.leaseMilliseconds,
		lend(name, held, {count, withinQuota}, now) {
			const borrower = borrowers.get(name) ?? {counts: new Map<string, number>(), until: 0};
			borrowers.set(name, borrower);
			renew(borrower, held);
			grant(borrower, Math.max(Math.min(count, options.surplus()), Math.min(withinQuota, options.surplusWithinQuota())));
			borrower.until = now + options.leaseMilliseconds;
			return [...borrower.counts].map(([endpoint, lentCount]) => ({endpoint, count: lentCount, busy: 0}));
		},
		reclaim(name, returned) {
			const borrower = borrowers.get(name);
			for (const {endpoint, count} of borrower ? returned : []) {
				setLent(borrower!, endpoint, Math.max(0, countOf(borrower!.counts, endpoint) - count));
			}

			options.onReturn();
		},
		sweep(now) {
			for (const [name, borrower] of borrowers) {
				if (now >= borrower.until) {
					end(name, borrower);
					options.onReturn();
				}
			}
		},
	};
};
