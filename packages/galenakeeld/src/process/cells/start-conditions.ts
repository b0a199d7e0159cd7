import {performance} from 'node:perf_hooks';
import {lapsedEntryMilliseconds, type CellEndpoints} from './cell-endpoints.js';
import {maximumLeaseOf, minimumLeaseMilliseconds, yieldMilliseconds} from './maximum-lease.js';
import type {PlacedJob} from './placed-job.js';

/**
Whether enough is known of the runs of earlier assignments and owners to start tasks.
*/
export type StartConditions = {
	/** Whether a run of the job is known that this submission has neither started nor adopted, as when its caller repeats it. */
	readonly hasStrayRuns: (job: PlacedJob, strayJobs?: ReadonlySet<string>) => boolean;
	/** Whether a new owner does not know yet what runs at some endpoints. No job starts until then, since a job that its caller repeats looks like a new one. */
	readonly isAwaitingFirstReports: () => boolean;
	/** Whether tasks of a job may start. It waits while one of them may be running outside this submission, and while its holder confirms nothing. */
	readonly isStartable: (job: PlacedJob, strayJobs: ReadonlySet<string>) => boolean;
	/** Whether the holder of a job has confirmed so lately that its tasks may join the longest lease. They wait for a confirmation, or for an endpoint with a shorter lease, otherwise. */
	readonly isConfirmedLately: (job: PlacedJob) => boolean;
};

export type StartConditionsOptions = {
	readonly endpoints: Pick<CellEndpoints, 'all' | 'strayJobs'>;
	/** Monotonic milliseconds since when the token has been valid. */
	readonly ownedSince: () => number;
	/** Whether holders have had time to submit the jobs of an earlier owner again. */
	readonly isSettled: () => boolean;
	/** Monotonic milliseconds since when this daemon has known endpoints of the cell; undefined before the first list. */
	readonly listedSince: () => number | undefined;
	readonly holdMaximumMilliseconds: number;
	/** Monotonic milliseconds after which no lease that is sent for a run of the job may end. */
	readonly leaseLimitOf: (job: PlacedJob) => number;
	/** Monotonic milliseconds after which no lease may end that covers a run of the job. */
	readonly latestLeaseEndOf: (job: PlacedJob) => number;
};

/**
Creates the conditions of a cell.

@example
```
const conditions = createStartConditions(options);
const startable = jobs.filter(job => conditions.isStartable(job, endpoints.strayJobs()));
```
*/
export const createStartConditions = ({endpoints, ownedSince, isSettled, listedSince, holdMaximumMilliseconds, leaseLimitOf, latestLeaseEndOf}: StartConditionsOptions): StartConditions => {
	/** Whether each endpoint on which an earlier owner may have started tasks has been polled, or can no longer run them. A new list may lack entries that lapsed. */
	const areAllRunsKnown = (): boolean => {
		const now = performance.now();
		const isListComplete = now - (listedSince() ?? now) > lapsedEntryMilliseconds;
		return isListComplete ? endpoints.all().every(endpoint => endpoint.areRunsKnown()) : now - ownedSince() > maximumLeaseOf(holdMaximumMilliseconds) + yieldMilliseconds;
	};

	const hasStrayRuns = ({order}: PlacedJob, strayJobs = endpoints.strayJobs()): boolean => strayJobs.has(order.job.identifier);

	return {
		hasStrayRuns,
		isAwaitingFirstReports: () => !isSettled() && endpoints.all().some(endpoint => endpoint.isAwaitingFirstAnswer()),
		isConfirmedLately: job => latestLeaseEndOf(job) >= performance.now() + maximumLeaseOf(holdMaximumMilliseconds),
		isStartable: (job, strayJobs) =>
			!hasStrayRuns(job, strayJobs) && leaseLimitOf(job) > performance.now() + minimumLeaseMilliseconds && (job.order.generation === 0 || (isSettled() && areAllRunsKnown())),
	};
};
