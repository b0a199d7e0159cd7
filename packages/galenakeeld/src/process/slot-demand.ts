const smoothingFactor = 0.03;
const defaultDeviations = 0.5;

/**
Estimates the number of slots that the tasks of one service need on this instance.
*/
export type SlotDemand = {
	/** Records the number of running and waiting tasks; called at a fixed interval. */
	readonly observe: (tasks: number) => void;
	/** Number of slots needed for the expected tasks, with a reserve in standard deviations of a Poisson process. */
	readonly target: (deviations?: number) => number;
};

/**
Creates the estimate of an instance without tasks: an exponential moving average over about one second, with a reserve for random variation.

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
