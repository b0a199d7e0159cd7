import type {RunEstimate} from './run-estimates.js';

const riseFactor = 0.1;
const fallFactor = 0.01;
/** Slots reserved beyond the mean demand of short tasks, in standard deviations of a Poisson arrival process. */
const reserveDeviations = 1;
const smallestShare = 0.2;
/** Multiple of the service's median run time above which a task counts as long. */
const longFactor = 4;
const serviceSamples = 100;

/**
Limits the slots that long tasks may occupy.
*/
export type LongTaskShare = {
	/** Records the number of slots that short tasks occupy or wait for; called at a fixed interval. */
	readonly observe: (shortTasks: number) => void;
	/** Number of the usable slots of the instance that long tasks may occupy. */
	readonly limit: (usable: number) => number;
};

/**
Whether a task counts as long in its service.

@param kind Estimate of the task's kind.
@param service Estimate over all kinds of the service; no task counts as long until this has enough samples.

@example
```
isLongRun(estimates.ofKind('rerate'), estimates.ofService());
```
*/
export const isLongRun = (kind: Pick<RunEstimate, 'median'>, service: Pick<RunEstimate, 'median' | 'samples'>): boolean =>
	service.samples >= serviceSamples && kind.median > service.median * longFactor;

/**
Creates the limit of an instance without load: all slots but one.

The moving average of the demand of short tasks rises quickly and falls slowly. Long tasks get the slots beyond this average and a reserve for its usual variation, and never less than a fifth.

@example
```
const share = createLongTaskShare();
share.observe(12);
share.limit(40);
```
*/
export const createLongTaskShare = (): LongTaskShare => {
	let shortTaskDemand = 0;
	return {
		observe(shortTasks) {
			shortTaskDemand += (shortTasks > shortTaskDemand ? riseFactor : fallFactor) * (shortTasks - shortTaskDemand);
		},
		limit(usable) {
			const reserve = Math.ceil(shortTaskDemand + (reserveDeviations * Math.sqrt(shortTaskDemand)));
			return Math.max(1, Math.floor(usable * smallestShare), usable - Math.max(1, reserve));
		},
	};
};
