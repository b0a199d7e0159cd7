import type {Endpoint} from '../version/service-version.js';

/**
The slots of one endpoint on this instance. Only the ledger changes them.
*/
export type EndpointSlots = {
	endpoint: Endpoint;
	/** Slots that belong to this instance. */
	owned: number;
	/** Own slots that are leased to peers. */
	lent: number;
	/** Slots of peers that are leased to this instance. */
	borrowed: number;
	/** Earliest expiry of a lease on a borrowed slot, in milliseconds on the monotonic clock. */
	borrowedUntil: number;
	/** Tasks of this instance that are running on the endpoint. */
	busy: number;
	/** Whether the endpoint may get new tasks. */
	isOpen: boolean;
	/** Concurrent tasks that the endpoint's circuit breaker allows. */
	guardLimit: number;
	/** Concurrent tasks that this instance's share of the endpoint's connections allows. */
	connectionLimit: number;
};

/**
Chooses the endpoint of the next task; `undefined` leaves the task waiting.

@param task.workMilliseconds Expected run time of the task at speed 1.
@param task.avoidedEndpoint Address of an endpoint that is chosen only if there is no other.
*/
export type ChooseEndpoint = (candidates: Iterable<EndpointSlots>, task: {readonly workMilliseconds: number; readonly avoidedEndpoint?: string}) => EndpointSlots | undefined;

/**
A slot that is acquired for one task.
*/
export type SlotGrant = {readonly endpoint: Endpoint; readonly release: () => void};

/**
Changes to the slots of an endpoint that do not come from starting or ending tasks.
*/
export type SlotChange = Partial<Pick<EndpointSlots, 'lent' | 'borrowed' | 'borrowedUntil' | 'isOpen' | 'guardLimit'>>;

/**
The slots of one service on this instance.
*/
export type SlotLedger = {
	/** Replaces endpoints and ownership after a new document version or a membership change. */
	readonly install: (endpoints: readonly Endpoint[], owned: ReadonlyMap<string, number>, instances: number) => void;
	readonly slotsOf: (address: string) => EndpointSlots | undefined;
	readonly all: () => Iterable<EndpointSlots>;
	/** Endpoints on which this instance owns or has borrowed slots, busy or free. */
	readonly inUse: () => readonly EndpointSlots[];
	readonly change: (slots: EndpointSlots, change: SlotChange) => void;
	/** Occupies one slot until the grant is released. */
	readonly acquire: (slots: EndpointSlots) => SlotGrant;
	/** Slots that this instance may use, busy or free. */
	readonly usable: () => number;
	readonly free: () => number;
	readonly busy: () => number;
	/** Increases with every change, so that a choice of endpoint can be cached until then. */
	readonly revision: () => number;
};

/**
Returns the number of slots of an endpoint that this instance may use, busy or free.
*/
export const usableSlotsOf = (slots: EndpointSlots): number => {
	const held = slots.owned - slots.lent + slots.borrowed;
	return slots.isOpen ? Math.max(0, Math.min(held, slots.guardLimit, slots.connectionLimit)) : 0;
};

/**
Returns the number of own slots of an endpoint that are lent to peers and could be used here as soon as they are returned.
*/
export const returningSlotsOf = (slots: EndpointSlots): number =>
	usableSlotsOf({...slots, lent: 0}) - usableSlotsOf(slots);

/**
Returns the number of slots of an endpoint that are free for new tasks of this instance.
*/
export const freeSlotsOf = (slots: EndpointSlots): number => Math.max(0, usableSlotsOf(slots) - slots.busy);

/**
Returns the number of borrowed slots of an endpoint that are in use; own slots are counted as used first.
*/
export const borrowedInUse = (slots: EndpointSlots): number =>
	Math.max(0, Math.min(slots.borrowed, slots.busy - Math.max(0, slots.owned - slots.lent)));

const createSlots = (endpoint: Endpoint): EndpointSlots => ({
	endpoint, owned: 0, lent: 0, borrowed: 0, borrowedUntil: Infinity, busy: 0, isOpen: true, guardLimit: Infinity, connectionLimit: Infinity,
});

/**
Creates a ledger without endpoints.

@param onRelease Called when a slot may have become free.

@example
```
const ledger = createSlotLedger(() => queue.startNext());
ledger.install(version.endpoints, countOwnedSlots(instance, owners, version.endpoints), owners.length);
const grant = ledger.acquire(chooseFreeSlot(ledger.inUse(), {workMilliseconds: 120}));
```
*/
export const createSlotLedger = (onRelease: () => void): SlotLedger => {
	const byAddress = new Map<string, EndpointSlots>();
	let inUse: readonly EndpointSlots[] = [];
	let usable = 0;
	let free = 0;
	let busy = 0;
	let revision = 0;

	const isKept = (slots: EndpointSlots): boolean => byAddress.get(slots.endpoint.address) === slots;

	const isUsed = (slots: EndpointSlots): boolean => slots.owned + slots.borrowed > 0;

	const listUsed = (): void => {
		inUse = [...byAddress.values()].filter(slots => isUsed(slots));
	};

	/** Applies a change and updates the totals incrementally, since they are read for every task. */
	const apply = (slots: EndpointSlots, mutate: () => void): void => {
		const before = {usable: usableSlotsOf(slots), free: freeSlotsOf(slots), isUsed: isUsed(slots)};
		mutate();
		if (!isKept(slots)) {
			return;
		}

		usable += usableSlotsOf(slots) - before.usable;
		free += freeSlotsOf(slots) - before.free;
		revision++;
		if (isUsed(slots) !== before.isUsed) {
			listUsed();
		}
	};

	const remove = (address: string, slots: EndpointSlots): void => {
		apply(slots, () => {
			slots.isOpen = false;
		});
		byAddress.delete(address);
	};

	return {
		install(endpoints, owned, instances) {
			const listed = new Set(endpoints.map(endpoint => endpoint.address));
			for (const [address, slots] of byAddress) {
				if (!listed.has(address)) {
					remove(address, slots);
				}
			}

			for (const endpoint of endpoints) {
				const slots = byAddress.get(endpoint.address) ?? createSlots(endpoint);
				byAddress.set(endpoint.address, slots);
				apply(slots, () => {
					slots.endpoint = endpoint;
					slots.owned = owned.get(endpoint.address) ?? 0;
					slots.connectionLimit = Math.max(1, Math.floor(endpoint.connections / Math.max(1, instances)));
				});
			}

			listUsed();
			onRelease();
		},
		slotsOf: address => byAddress.get(address),
		all: () => byAddress.values(),
		inUse: () => inUse,
		change(slots, change) {
			apply(slots, () => {
				Object.assign(slots, change);
			});
		},
		acquire(slots) {
			apply(slots, () => {
				slots.busy++;
			});
			busy++;
			let isHeld = true;
			return {
				endpoint: slots.endpoint,
				release() {
					if (isHeld) {
						isHeld = false;
						busy--;
						apply(slots, () => {
							slots.busy--;
						});
						onRelease();
					}
				},
			};
		},
		usable: () => usable,
		free: () => free,
		busy: () => busy,
		revision: () => revision,
	};
};
