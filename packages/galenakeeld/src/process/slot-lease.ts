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
Adds up the slots of leases.
*/
export const sizeOf = (leases: readonly SlotLease[]): number => {
	let size = 0;
	for (const {count} of leases) {
		size += count;
	}

	return size;
};

/**
Returns the slots that are counted for an endpoint; 0 when there are none.
*/
export const countOf = (counts: ReadonlyMap<string, number>, endpoint: string): number => counts.get(endpoint) ?? 0;
