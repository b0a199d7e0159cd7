const smoothing = 0.03;
/** Slots kept beyond the mean need, in standard deviations of a Poisson process. */
const reserveDeviations = 0.5;

/**
The number of slots that the tasks of one service need on this instance.
*/
export type SlotDemand = {
	/** Takes the number of tasks that run or wait; called at a fixed interval. */
	readonly observe: (tasks: number) => void;
	/** Slots to have for the tasks to come. */
	readonly target: () => number;
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
			mean += smoothing * (tasks - mean);
		},
		target: () => mean + (reserveDeviations * Math.sqrt(mean)),
	};
};
