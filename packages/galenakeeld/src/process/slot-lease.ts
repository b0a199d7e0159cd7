/**
Slots of one endpoint that one instance lends to another for a limited time.
*/
export type SlotLease = {
	readonly endpoint: string;
	readonly count: number;
	/** Leased slots on which the borrower runs a task. */
	readonly busy: number;
};

/**
Returns the total number of slots in leases.
*/
export const sizeOf = (leases: readonly SlotLease[]): number => {
	let size = 0;
	for (const {count} of leases) {
		size += count;
	}

	return size;
};

/**
Returns the count of an endpoint, or 0 when it has none.
*/
export const countOf = (counts: ReadonlyMap<string, number>, endpoint: string): number => counts.get(endpoint) ?? 0;
