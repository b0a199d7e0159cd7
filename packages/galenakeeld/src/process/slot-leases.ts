import {type EndpointSlots, type SlotLedger, freeSlotsOf} from './slot-ledger.js';

/**
Slots of one endpoint that one instance lends to another for a time.
*/
export type SlotLease = {readonly endpoint: string; readonly count: number};

/**
Slots lent and borrowed by this instance for one service.
*/
export type SlotLeases = {
	/** Takes up to `count` own free slots out of use until the leases expire, and returns them. */
	readonly lend: (count: number) => readonly SlotLease[];
	/** Puts slots of a peer into use until the leases expire. */
	readonly borrow: (leases: readonly SlotLease[]) => void;
	readonly leaseMilliseconds: number;
};

const lendable = (slots: EndpointSlots): number => Math.min(freeSlotsOf(slots), slots.owned - slots.lent);

/**
Creates the leases on a ledger.

@param onExpiry Called when lent slots are this instance's own again.

@example
```
const leases = createSlotLeases(ledger, 1000, () => dispatcher.startNext());
const lent = leases.lend(4);
```
*/
export const createSlotLeases = (ledger: SlotLedger, leaseMilliseconds: number, onExpiry: () => void): SlotLeases => ({
	leaseMilliseconds,
	lend(count) {
		const lent: SlotLease[] = [];
		let open = count;
		for (const slots of ledger.all()) {
			const part = Math.min(open, lendable(slots));
			if (part > 0) {
				slots.lent += part;
				open -= part;
				lent.push({endpoint: slots.endpoint.address, count: part});
				setTimeout(() => {
					slots.lent -= part;
					onExpiry();
				}, leaseMilliseconds).unref();
			}
		}

		return lent;
	},
	borrow(leases) {
		for (const {endpoint, count} of leases) {
			const slots = ledger.slotsOf(endpoint);
			if (slots) {
				slots.borrowed += count;
				setTimeout(() => {
					slots.borrowed -= count;
				}, leaseMilliseconds).unref();
			}
		}
	},
});
