import {returningSlotsOf, usableSlotsOf, type EndpointSlots} from './slot-ledger.js';

/**
What an instance can do for its waiting tasks.
*/
export type SlotCapacity = {
	/** Slots that it may use now. */
	readonly usable: number;
	/** Own slots that it has lent. */
	readonly returning: number;
	/** Mean speed over both. */
	readonly meanSpeed: number;
};

/**
Measures the capacity of an instance over the endpoints that it uses.

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
Counts the slots that waiting tasks may expect to get.

Lent slots count, since an idle borrower gives them back soon after tasks wait here. Those that have not come back by the time at which the queue is standing are in use at the borrower, and are not counted.

@example
```
expectedSlotsOf({usable: 2, returning: 6, meanSpeed: 1}, false); // => 8
```
*/
export const expectedSlotsOf = ({usable, returning}: SlotCapacity, isStanding: boolean): number =>
	isStanding ? usable : usable + returning;
