import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type JobOrder} from '@galenakeel/model/connection/fleet-message.js';
import {RefusalReason} from '@galenakeel/model/request/job.js';
import {Admission, type CellCapacity} from './admit-job.js';
import type {CellCapacityCache} from './cell-capacity-cache.js';
import {CellDecision, describePart, type RecordDecision} from './cell-decision.js';
import type {CellEndpoints} from './cell-endpoints.js';
import type {CellJobs} from './cell-jobs.js';
import type {CellRuns} from './cell-runs.js';
import {evaluateArrival} from './evaluate-arrival.js';
import {
	hasWaitingTasks, isComplete, referenceOf, remainingCriticalPath, waitingIndexes, type PlacedJob,
} from './placed-job.js';
import {isFitting} from './room.js';
import type {StartConditions} from './start-conditions.js';
import {CellWork, type WorkTimes} from './work-times.js';

/**
Accepts, redirects or refuses the jobs that arrive at a cell.
*/
export type JobAdmission = {
	/** Decides about a job that was not in the cell before. */
	readonly decide: (job: PlacedJob) => void;
	/** Refuses the jobs that have waited until they are worth nothing. */
	readonly refuseExpired: () => void;
	/** Processor of a typical task, in thousandths of a core. */
	readonly typicalProcessor: () => number;
};

export type JobAdmissionOptions = {
	readonly jobs: Pick<CellJobs, 'add' | 'all' | 'end' | 'finish' | 'transfer'>;
	readonly endpoints: Pick<CellEndpoints, 'all'>;
	readonly capacity: Pick<CellCapacityCache, 'available'>;
	readonly conditions: Pick<StartConditions, 'hasStrayRuns' | 'isAwaitingFirstReports'>;
	/** Whether tasks of a job have been started here under another assignment. */
	readonly hasStartedBefore: (job: string) => boolean;
	readonly isSettled: () => boolean;
	/** Other cells as their owners last described them. */
	readonly otherCells: () => readonly CellCapacity[];
	readonly adopt: CellRuns['adopt'];
	readonly measure: WorkTimes['measure'];
	readonly onDecision: RecordDecision;
	/** Called after each job that was accepted. */
	readonly onAccepted: () => void;
};

const minimumRetryMilliseconds = 1000;
const maximumRetryMilliseconds = 8000;
/** Number of waiting jobs from which no prediction is made for an arriving job. */
const maximumWaitingJobs = 1000;
/** Weight of a new step in the moving average of the processor of a task. */
const typicalProcessorGain = 0.05;

/**
Creates the admission of a cell.

@example
```
const admission = createJobAdmission(options);
admission.decide(createPlacedJob(order, holder));
```
*/
export const createJobAdmission = (options: JobAdmissionOptions): JobAdmission => {
	const {jobs, endpoints, capacity, conditions, isSettled, onDecision} = options;
	let typicalProcessor = 1;

	const refuse = (job: PlacedJob, reason: RefusalReason, retryAfterMilliseconds: number): void => {
		onDecision(CellDecision.JobRefused, {
			...describePart(job), reason, queue: job.order.queue, heldMilliseconds: Math.round(performance.now() - job.receivedAt),
		});
		jobs.finish(job, {
			kind: FleetMessageKind.Refuse,
			...referenceOf(job),
			reason,
			retryAfterMilliseconds: Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, retryAfterMilliseconds)),
			mayHaveRun: options.hasStartedBefore(job.order.job.identifier),
		});
	};

	const isEverPossible = (order: JobOrder): boolean => {
		const entries = endpoints.all().map(endpoint => endpoint.entry());
		return entries.length === 0 || order.job.steps.every(({room, requiredLabel}) =>
			entries.some(entry => entry.service === order.service && isFitting(room, entry.room) && (requiredLabel === undefined || entry.labels.includes(requiredLabel))));
	};

	const recordTaskSize = (job: PlacedJob): void => {
		for (const {room} of job.order.job.steps) {
			typicalProcessor += typicalProcessorGain * (room.processor - typicalProcessor);
		}
	};

	const accept = (job: PlacedJob, endsIn: number): void => {
		const {order} = job;
		recordTaskSize(job);
		jobs.add(job);
		onDecision(CellDecision.JobAccepted, {
			...describePart(job), queue: order.queue, dueInMilliseconds: Math.round(order.dueInMilliseconds), endsInMilliseconds: Math.round(endsIn), earlierRunsMilliseconds: Math.round(Math.max(0, job.earlierRunsEndAt - performance.now())),
		});
		if (order.generation > 0 || conditions.hasStrayRuns(job)) {
			options.adopt(job);
		}

		if (isComplete(job)) {
			jobs.end(job, true);
		}

		options.onAccepted();
	};

	/** Accepts only jobs that can't be refused any more. */
	const acceptCommitted = (job: PlacedJob): void => {
		if (job.isCommitted) {
			accept(job, job.order.worthlessInMilliseconds);
		} else {
			refuse(job, RefusalReason.Overloaded, maximumRetryMilliseconds);
		}
	};

	const areTooManyWaiting = (): boolean => jobs.all().filter(job => hasWaitingTasks(job)).length >= maximumWaitingJobs;

	/** Whether nothing can be predicted yet, or the job may be running, so that it belongs here in any case. */
	const hasToStay = (job: PlacedJob): boolean => {
		const isAwaitingFirstPolls = capacity.available().length === 0 && (!isSettled() || endpoints.all().some(endpoint => endpoint.isAwaitingFirstAnswer()));
		return conditions.hasStrayRuns(job) || isAwaitingFirstPolls || conditions.isAwaitingFirstReports();
	};

	/** Decides by the prediction of what the job, and those that wait, are worth. */
	const decideByPrediction = (job: PlacedJob): void => {
		const decision = evaluateArrival(job, jobs.all(), {capacities: capacity.available(), others: options.otherCells(), now: performance.now()});
		if (decision.admission === Admission.Redirect) {
			jobs.add(job);
			jobs.transfer(job, job.steps.flatMap(placed => waitingIndexes(placed).map(index => ({step: placed.position, index}))), decision.cell);
		} else if (decision.admission === Admission.Refuse && !job.isCommitted && isSettled()) {
			refuse(job, RefusalReason.Overloaded, decision.endsIn - job.order.dueInMilliseconds);
		} else {
			accept(job, decision.endsIn);
		}
	};

	const decide = (job: PlacedJob): void => {
		if (hasToStay(job)) {
			accept(job, job.order.dueInMilliseconds);
		} else if (areTooManyWaiting()) {
			acceptCommitted(job);
		} else {
			decideByPrediction(job);
		}
	};

	return {
		decide(job) {
			if (isEverPossible(job.order)) {
				options.measure(CellWork.Admission, () => {
					decide(job);
				});
			} else {
				refuse(job, RefusalReason.NoEndpoint, maximumRetryMilliseconds);
			}
		},
		refuseExpired() {
			const now = performance.now();
			for (const job of jobs.all()) {
				if (!job.isCommitted && now + remainingCriticalPath(job) > job.expiresAt) {
					refuse(job, RefusalReason.Overloaded, minimumRetryMilliseconds);
				}
			}
		},
		typicalProcessor: () => typicalProcessor,
	};
};
