import {PlacementPolicy} from '../version/placement-policy.js';
import {freeSlotsOf, type ChooseEndpoint, type EndpointSlots} from './slot-ledger.js';

/**
Estimates the run time of a task kind on an endpoint, in milliseconds.
*/
export type EstimateRun = (slots: EndpointSlots, kind: string) => number;

const openOnes = (candidates: Iterable<EndpointSlots>): EndpointSlots[] => [...candidates].filter(slots => slots.isOpen);

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
		const open = openOnes(candidates);
		next = (next + 1) % Math.max(1, open.length);
		return open[next];
	};
};

const chooseOfTwo: ChooseEndpoint = candidates => {
	const open = openOnes(candidates);
	const pair = [pick(open), pick(open)].filter(slots => slots !== undefined);
	return leastOf(pair, slots => slots.busy);
};

/**
Creates the function that chooses endpoints under a policy.

The policies without shares send at once and leave queueing to the endpoint; those with shares take only a free slot, the one with the shortest estimated run.

@example
```
const choose = createChooseEndpoint(PlacementPolicy.Shares, (slots, kind) => estimates.run(slots.endpoint, kind));
```
*/
export const createChooseEndpoint = (policy: PlacementPolicy, estimate: EstimateRun): ChooseEndpoint => {
	switch (policy) {
		case PlacementPolicy.Random: {
			return candidates => pick(openOnes(candidates));
		}

		case PlacementPolicy.RoundRobin: {
			return createRoundRobin();
		}

		case PlacementPolicy.PowerOfTwoChoices: {
			return chooseOfTwo;
		}

		case PlacementPolicy.LeastOutstanding: {
			return candidates => leastOf(openOnes(candidates), slots => slots.busy);
		}

		case PlacementPolicy.Shares:
		case PlacementPolicy.SharesWithBorrowing: {
			return (candidates, kind) => leastOf(candidates, slots => freeSlotsOf(slots) > 0 ? estimate(slots, kind) : Infinity);
		}
	}
};
