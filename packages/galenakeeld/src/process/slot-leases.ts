import {
	borrowedInUse, freeSlotsOf, type EndpointSlots, type SlotLedger,
} from './slot-ledger.js';

/**
Slots of one endpoint that one instance lends to another for a time.
*/
export type SlotLease = {
	readonly endpoint: string;
	readonly count: number;
	/** Slots among them on which the borrower runs a task. */
	readonly busy: number;
};

/**
Slots lent and borrowed by this instance for one service. Times are on the monotonic clock, in milliseconds.
*/
export type SlotLeases = {
	/**
	Renews what a borrower holds and lends it up to `count` further slots.

	While tasks wait here nothing further is lent, and only the slots on which the borrower runs a task are renewed.

	@returns All leases that the borrower now holds.
	*/
	readonly lend: (borrower: string, held: readonly SlotLease[], count: number, now: number) => readonly SlotLease[];
	/** Takes slots back that a borrower no longer needs. */
	readonly takeBack: (borrower: string, returned: readonly SlotLease[]) => void;
	/** Replaces what is held from a lender by what it granted. */
	readonly hold: (lender: string, leases: readonly SlotLease[], until: number) => void;
	/** What is held from a lender and was in use since the last call of `hold` for it. */
	readonly needed: (lender: string) => readonly SlotLease[];
	/** Gives up what is held from a lender and not in use, and returns it. */
	readonly release: (lender: string) => readonly SlotLease[];
	readonly lenders: () => readonly Holding[];
	/** Ends the leases that have expired and notes which borrowed slots are in use; called at a fixed interval. */
	readonly sweep: (now: number) => void;
	readonly leaseMilliseconds: number;
};

/**
What is held from one lender.
*/
export type Holding = {
	readonly lender: string;
	readonly until: number;
	/** Time since which no slot of the holding has been in use. */
	readonly idleSince: number;
};

type LentSlots = {readonly counts: Map<string, number>; until: number};

type HeldSlots = {readonly counts: Map<string, number>; readonly peaks: Map<string, number>; until: number; idleSince: number};

const countOf = (counts: ReadonlyMap<string, number>, endpoint: string): number => counts.get(endpoint) ?? 0;

/**
Creates the leases on a ledger.

@param options.surplus Free slots that may be lent.
@param options.isShort Tells whether tasks wait on this instance.
@param options.onReturn Called when lent slots are this instance's own again.

@example
```
const leases = createSlotLeases(ledger, {leaseMilliseconds: 3000, surplus: dispatcher.surplus, isShort: () => dispatcher.waiting() > 0, onReturn: dispatcher.startNext});
const lent = leases.lend('entry-2', [], 4, performance.now());
```
*/
export const createSlotLeases = (ledger: SlotLedger, options: {leaseMilliseconds: number; surplus: () => number; isShort: () => boolean; onReturn: () => void}): SlotLeases => {
	const lentTo = new Map<string, LentSlots>();
	const heldFrom = new Map<string, HeldSlots>();

	const changeLent = (endpoint: string, difference: number): void => {
		const slots = ledger.slotsOf(endpoint);
		if (slots && difference !== 0) {
			ledger.change(slots, {lent: Math.max(0, slots.lent + difference)});
		}
	};

	const setLent = (lent: LentSlots, endpoint: string, count: number): void => {
		changeLent(endpoint, count - countOf(lent.counts, endpoint));
		if (count > 0) {
			lent.counts.set(endpoint, count);
		} else {
			lent.counts.delete(endpoint);
		}
	};

	const renew = (lent: LentSlots, held: readonly SlotLease[]): void => {
		const isShort = options.isShort();
		const kept = new Map(held.map(({endpoint, count, busy}) => [endpoint, isShort ? Math.min(count, busy) : count]));
		for (const endpoint of new Set([...lent.counts.keys(), ...kept.keys()])) {
			setLent(lent, endpoint, countOf(kept, endpoint));
		}
	};

	const lendable = (slots: EndpointSlots): number => Math.min(freeSlotsOf(slots), slots.owned - slots.lent);

	const grant = (lent: LentSlots, count: number): void => {
		let open = Math.min(count, options.surplus());
		for (const slots of ledger.inUse().toSorted((first, second) => lendable(second) - lendable(first))) {
			const part = Math.min(open, lendable(slots));
			if (part <= 0) {
				return;
			}

			const {address} = slots.endpoint;
			setLent(lent, address, countOf(lent.counts, address) + part);
			open -= part;
		}
	};

	const untilOf = (endpoint: string): number => Math.min(...[...heldFrom.values()].filter(({counts}) => counts.has(endpoint)).map(({until}) => until));

	const setHeld = (held: HeldSlots, endpoint: string, count: number): void => {
		const before = countOf(held.counts, endpoint);
		if (count > 0) {
			held.counts.set(endpoint, count);
		} else {
			held.counts.delete(endpoint);
		}

		const slots = ledger.slotsOf(endpoint);
		if (slots) {
			ledger.change(slots, {borrowed: Math.max(0, slots.borrowed + count - before), borrowedUntil: untilOf(endpoint)});
		}
	};

	/** Slots of a holding in use, when those of the other lenders are counted as used first. */
	const busyOf = (held: HeldSlots, endpoint: string): number => {
		const slots = ledger.slotsOf(endpoint);
		const own = countOf(held.counts, endpoint);
		return slots ? Math.max(0, Math.min(own, borrowedInUse(slots) - (slots.borrowed - own))) : 0;
	};

	const endHolding = (lender: string, held: HeldSlots): void => {
		for (const endpoint of held.counts.keys()) {
			setHeld(held, endpoint, 0);
		}

		heldFrom.delete(lender);
	};

	const endLent = (borrower: string, lent: LentSlots): void => {
		for (const endpoint of lent.counts.keys()) {
			setLent(lent, endpoint, 0);
		}

		lentTo.delete(borrower);
	};

	const notePeaks = (held: HeldSlots, now: number): void => {
		for (const endpoint of held.counts.keys()) {
			const busy = busyOf(held, endpoint);
			held.peaks.set(endpoint, Math.max(busy, countOf(held.peaks, endpoint)));
			held.idleSince = busy > 0 ? now : held.idleSince;
		}
	};

	return {
		leaseMilliseconds: options.leaseMilliseconds,
		lend(borrower, held, count, now) {
			const lent = lentTo.get(borrower) ?? {counts: new Map<string, number>(), until: 0};
			lentTo.set(borrower, lent);
			renew(lent, held);
			grant(lent, count);
			lent.until = now + options.leaseMilliseconds;
			return [...lent.counts].map(([endpoint, lentCount]) => ({endpoint, count: lentCount, busy: 0}));
		},
		takeBack(borrower, returned) {
			const lent = lentTo.get(borrower);
			for (const {endpoint, count} of lent ? returned : []) {
				setLent(lent!, endpoint, Math.max(0, countOf(lent!.counts, endpoint) - count));
			}

			options.onReturn();
		},
		hold(lender, leases, until) {
			const held = heldFrom.get(lender) ?? {
				counts: new Map<string, number>(), peaks: new Map<string, number>(), until, idleSince: until,
			};
			heldFrom.set(lender, held);
			held.until = until;
			held.idleSince = until - options.leaseMilliseconds;
			held.peaks.clear();
			const granted = new Map(leases.map(({endpoint, count}) => [endpoint, count]));
			for (const endpoint of new Set([...held.counts.keys(), ...granted.keys()])) {
				setHeld(held, endpoint, countOf(granted, endpoint));
			}

			if (held.counts.size === 0) {
				heldFrom.delete(lender);
			}
		},
		needed(lender) {
			const held = heldFrom.get(lender);
			return [...held?.counts.keys() ?? []]
				.map(endpoint => {
					const busy = busyOf(held!, endpoint);
					return {endpoint, count: Math.min(countOf(held!.counts, endpoint), Math.max(busy, countOf(held!.peaks, endpoint))), busy};
				})
				.filter(({count}) => count > 0);
		},
		release(lender) {
			const held = heldFrom.get(lender);
			const returned = [...held?.counts ?? []]
				.map(([endpoint, count]) => ({endpoint, count: count - busyOf(held!, endpoint), busy: 0}))
				.filter(({count}) => count > 0);
			for (const {endpoint, count} of returned) {
				setHeld(held!, endpoint, countOf(held!.counts, endpoint) - count);
			}

			if (held?.counts.size === 0) {
				heldFrom.delete(lender);
			}

			return returned;
		},
		lenders: () => [...heldFrom].map(([lender, {until, idleSince}]) => ({lender, until, idleSince})),
		sweep(now) {
			for (const [lender, held] of heldFrom) {
				notePeaks(held, now);
				if (now >= held.until) {
					endHolding(lender, held);
				}
			}

			for (const [borrower, lent] of lentTo) {
				if (now >= lent.until) {
					endLent(borrower, lent);
					options.onReturn();
				}
			}
		},
	};
};
