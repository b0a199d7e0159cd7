import {performance} from 'node:perf_hooks';
import type {CellEndpoints} from './cell-endpoints.js';
import {maximumLeaseOf, minimumLeaseMilliseconds} from './maximum-lease.js';
import type {PlacedJob} from './placed-job.js';

/**
Whether no run of an earlier assignment or owner can be active beside one that starts.
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
	/** Whether holders have had time to submit the jobs of an earlier owner again. */
	readonly isSettled: () => boolean;
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
export const createStartConditions = ({endpoints, isSettled, holdMaximumMilliseconds, leaseLimitOf, latestLeaseEndOf}: StartConditionsOptions): StartConditions => {
	const hasStrayRuns = ({order}: PlacedJob, strayJobs = endpoints.strayJobs()): boolean => strayJobs.has(order.job.identifier);

	return {
		hasStrayRuns,
		isAwaitingFirstReports: () => !isSettled() && endpoints.all().some(endpoint => endpoint.isAwaitingFirstAnswer()),
		isConfirmedLately: job => latestLeaseEndOf(job) >= performance.now() + maximumLeaseOf(holdMaximumMilliseconds),
		isStartable: (job, strayJobs) =>
			!hasStrayRuns(job, strayJobs) && leaseLimitOf(job) > performance.now() + minimumLeaseMilliseconds && performance.now() >= job.earlierRunsEndAt,
	};
};
