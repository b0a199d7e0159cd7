import type {RunEstimate} from './run-estimates.js';

const riseFactor = 0.1;
const fallFactor = 0.01;
/** Slots kept beyond the mean need of short tasks, in standard deviations of a Poisson arrival process. */
const reserveDeviations = 1;
const smallestShare = 0.2;
/** Times the median run time of a service above which a task counts as long. */
const longFactor = 4;
const serviceSamples = 100;

/**
The share of the slots that long tasks may hold.
*/
export type LongTaskShare = {
	/** Takes the number of slots that short tasks hold or wait for; called at a fixed interval. */
	readonly observe: (shortTasks: number) => void;
	/** Slots that long tasks may hold, of those that the instance may use. */
	readonly limit: (usable: number) => number;
};

/**
Tells whether a task counts as long in its service.

@param kind Estimate of the task's kind.
@param service Estimate over all kinds of the service; says nothing before enough tasks have run.

@example
```
isLongRun(estimates.ofKind('rerate'), estimates.ofService());
```
*/
export const isLongRun = (kind: Pick<RunEstimate, 'median'>, service: Pick<RunEstimate, 'median' | 'samples'>): boolean =>
	service.samples >= serviceSamples && kind.median > service.median * longFactor;

/**
Creates the share of an instance without load: all slots but one.

The need of short tasks is followed quickly when it rises and slowly when it falls; long tasks get what is left beyond a reserve for the usual variation, and never less than a fifth.

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
