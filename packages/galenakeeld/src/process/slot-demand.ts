const smoothingFactor = 0.03;
const defaultDeviations = 0.5;

/**
The number of slots that the tasks of one service need on this instance.
*/
export type SlotDemand = {
	/** Takes the number of tasks that run or wait; called at a fixed interval. */
	readonly observe: (tasks: number) => void;
	/** Slots to have for the tasks to come, with a reserve in standard deviations of a Poisson process. */
	readonly target: (deviations?: number) => number;
};

/**
Creates the demand of an instance without tasks: a mean over the last second or so, with a reserve for the usual variation.

@example
```
const demand = createSlotDemand();
demand.observe(12);
const surplus = ledger.usable() - demand.target();
```
*/
export const createSlotDemand = (): SlotDemand => {
	let mean = 0;
	return {
		observe(tasks) {
			mean += smoothingFactor * (tasks - mean);
		},
		target: (deviations = defaultDeviations) => mean + (deviations * Math.sqrt(mean)),
	};
};
