import type {Endpoint} from '../version/service-version.js';

/**
The slots of one endpoint, as this instance may use them.
*/
export type EndpointSlots = {
	endpoint: Endpoint;
	/** Slots that belong to this instance. */
	owned: number;
	/** Own slots that a peer uses under a lease. */
	lent: number;
	/** Slots of peers that this instance uses under a lease. */
	borrowed: number;
	/** Tasks of this instance that run on the endpoint now. */
	busy: number;
	/** Whether the endpoint may get new tasks. */
	isOpen: boolean;
};

/**
A function that chooses the endpoint of the next task; `undefined` leaves the task waiting.
*/
export type ChooseEndpoint = (candidates: Iterable<EndpointSlots>, kind: string) => EndpointSlots | undefined;

/**
A slot that is taken by one task.
*/
export type SlotGrant = {readonly endpoint: Endpoint; readonly release: () => void};

/**
The slots of one service on this instance.
*/
export type SlotLedger = {
	/** Replaces endpoints and ownership after a new document version or a change of members. */
	readonly install: (endpoints: readonly Endpoint[], owned: ReadonlyMap<string, number>) => void;
	readonly slotsOf: (address: string) => EndpointSlots | undefined;
	readonly all: () => Iterable<EndpointSlots>;
	readonly take: (choose: ChooseEndpoint, kind: string) => SlotGrant | undefined;
	/** Slots that this instance may use, busy or free. */
	readonly usable: () => number;
	readonly free: () => number;
	readonly busy: () => number;
};

/**
Counts the slots of an endpoint that a new task of this instance may take.
*/
export const freeSlotsOf = (slots: EndpointSlots): number =>
	slots.isOpen ? Math.max(0, slots.owned - slots.lent + slots.borrowed - slots.busy) : 0;

/**
Creates a ledger without endpoints.

@param onRelease Called when a slot may have become free.

@example
```
const ledger = createSlotLedger(() => queue.startNext());
ledger.install(version.endpoints, countOwnedSlots(instance, owners, version.endpoints));
const grant = ledger.take(chooseFreeSlot, 'sheet');
```
*/
export const createSlotLedger = (onRelease: () => void): SlotLedger => {
	const byAddress = new Map<string, EndpointSlots>();

	const sum = (count: (slots: EndpointSlots) => number): number => {
		let total = 0;
		for (const slots of byAddress.values()) {
			total += count(slots);
		}

		return total;
	};

	return {
		install(endpoints, owned) {
			const listed = new Set(endpoints.map(endpoint => endpoint.address));
			for (const [address, slots] of byAddress) {
				if (!listed.has(address)) {
					slots.isOpen = false;
					byAddress.delete(address);
				}
			}

			for (const endpoint of endpoints) {
				const slots = byAddress.get(endpoint.address);
				const count = owned.get(endpoint.address) ?? 0;
				if (slots) {
					slots.endpoint = endpoint;
					slots.owned = count;
				} else {
					byAddress.set(endpoint.address, {
						endpoint, owned: count, lent: 0, borrowed: 0, busy: 0, isOpen: true,
					});
				}
			}

			onRelease();
		},
		slotsOf: address => byAddress.get(address),
		all: () => byAddress.values(),
		take(choose, kind) {
			const slots = choose(byAddress.values(), kind);
			if (!slots) {
				return undefined;
			}

			slots.busy++;
			let isHeld = true;
			return {
				endpoint: slots.endpoint,
				release() {
					if (isHeld) {
						isHeld = false;
						slots.busy--;
						onRelease();
					}
				},
			};
		},
		usable: () => sum(slots => slots.isOpen ? slots.owned - slots.lent + slots.borrowed : 0),
		free: () => sum(slots => freeSlotsOf(slots)),
		busy: () => sum(slots => slots.busy),
	};
};
