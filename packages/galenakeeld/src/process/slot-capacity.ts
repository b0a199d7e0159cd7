import {returningSlotsOf, usableSlotsOf, type EndpointSlots} from './slot-ledger.js';

/**
Capacity of an instance for its waiting tasks.
*/
export type SlotCapacity = {
	/** Slots that the instance may use now. */
	readonly usable: number;
	/** Lent slots that it could use as soon as they are returned. */
	readonly returning: number;
	/** Mean speed of the usable and the returning slots; 1 when there are none. */
	readonly meanSpeed: number;
};

/**
Sums up the capacity of an instance over its endpoints.

@example
```
const capacity = measureSlotCapacity(ledger.inUse(), ({endpoint}) => estimates.speed(endpoint.address, endpoint.speed));
```
*/
export const measureSlotCapacity = (all: readonly EndpointSlots[], speedOf: (slots: EndpointSlots) => number): SlotCapacity => {
	let usable = 0;
	let returning = 0;
	let speed = 0;
	for (const slots of all) {
		const lent = returningSlotsOf(slots);
		const own = usableSlotsOf(slots);
		usable += own;
		returning += lent;
		speed += (own + lent) * speedOf(slots);
	}

	const counted = usable + returning;
	return {usable, returning, meanSpeed: counted === 0 ? 1 : speed / counted};
};

/**
Returns the number of slots that waiting tasks can expect.

Lent slots count at first, since an idle borrower returns them soon after tasks start to wait here. Once the queue is a standing queue, lent slots that have not been returned are in use at the borrower and no longer count.

@example
```
expectedSlotsOf({usable: 2, returning: 6, meanSpeed: 1}, false); // => 8
```
*/
export const expectedSlotsOf = ({usable, returning}: SlotCapacity, isStanding: boolean): number =>
	isStanding ? usable : usable + returning;
