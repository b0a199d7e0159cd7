import {PlacementPolicy} from './placement-policy.js';
import {freeSlotsOf, type ChooseEndpoint, type EndpointSlots} from './slot-ledger.js';

const availableEndpoints = (candidates: Iterable<EndpointSlots>): EndpointSlots[] => [...candidates].filter(slots => slots.isOpen);

const pick = (candidates: readonly EndpointSlots[]): EndpointSlots | undefined =>
	candidates[Math.floor(Math.random() * candidates.length)];

const leastOf = (candidates: Iterable<EndpointSlots>, measure: (slots: EndpointSlots) => number): EndpointSlots | undefined => {
	let best: EndpointSlots | undefined;
	let bestMeasure = Infinity;
	for (const slots of candidates) {
		const value = measure(slots);
		if (value < bestMeasure) {
			best = slots;
			bestMeasure = value;
		}
	}

	return best;
};

const createRoundRobin = (): ChooseEndpoint => {
	let next = 0;
	return candidates => {
		const open = availableEndpoints(candidates);
		next = (next + 1) % Math.max(1, open.length);
		return open[next];
	};
};

const choosePowerOfTwo: ChooseEndpoint = candidates => {
	const open = availableEndpoints(candidates);
	const pair = [pick(open), pick(open)].filter(slots => slots !== undefined);
	return leastOf(pair, slots => slots.busy);
};

/**
Whether the task would run on an owned slot, or end before the leases on the borrowed slots expire.
*/
const isCovered = (slots: EndpointSlots, runMilliseconds: number, now: number): boolean =>
	slots.busy < slots.owned - slots.lent || now + runMilliseconds <= slots.borrowedUntil;

/**
Creates the function that chooses the endpoint of a task according to a placement policy.

Policies without shares dispatch at once and leave queueing to the endpoint. Policies with shares use only free slots and choose the endpoint with the shortest expected run time; an avoided endpoint is chosen only if there is no other.

@param speedOf Returns the estimated speed of an endpoint.
@param clock Returns the monotonic time in milliseconds.

@example
```
const choose = createChooseEndpoint(PlacementPolicy.Shares, slots => estimates.speed(slots.endpoint.address, slots.endpoint.speed), () => performance.now());
```
*/
export const createChooseEndpoint = (policy: PlacementPolicy, speedOf: (slots: EndpointSlots) => number, clock: () => number): ChooseEndpoint => {
	switch (policy) {
		case PlacementPolicy.Random: {
			return candidates => pick(availableEndpoints(candidates));
		}

		case PlacementPolicy.RoundRobin: {
			return createRoundRobin();
		}

		case PlacementPolicy.PowerOfTwoChoices: {
			return choosePowerOfTwo;
		}

		case PlacementPolicy.LeastOutstanding: {
			return candidates => leastOf(availableEndpoints(candidates), slots => slots.busy);
		}

		case PlacementPolicy.Shares:
		case PlacementPolicy.SharesWithBorrowing: {
			return (candidates, {workMilliseconds, avoidedEndpoint}) => {
				const now = clock();
				return leastOf(candidates, slots => {
					const run = workMilliseconds / speedOf(slots);
					if (freeSlotsOf(slots) === 0 || !isCovered(slots, run, now)) {
						return Infinity;
					}

					return slots.endpoint.address === avoidedEndpoint ? Number.MAX_VALUE : run;
				});
			};
		}
	}
};
