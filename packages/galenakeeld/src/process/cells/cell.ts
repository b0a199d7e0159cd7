import {performance} from 'node:perf_hooks';
import type {EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import type {
	AssignmentReference, CellLoad, JobUpdate, JobOrder,
} from '@galenakeel/model/connection/fleet-message.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {CellCapacity} from './admit-job.js';
import {createCellCapacityCache} from './cell-capacity-cache.js';
import type {RecordDecision} from './cell-decision.js';
import {createCellEndpoint} from './cell-endpoint.js';
import {createCellEndpoints} from './cell-endpoints.js';
import {createCellJobs} from './cell-jobs.js';
import {
	countContent, describeRuns, type ActiveRunDescription, type CellObservation,
} from './cell-observation.js';
import {createCellPlacement} from './cell-placement.js';
import {createCellRuns} from './cell-runs.js';
import {createCellSubmissions} from './cell-submissions.js';
import {createClosedAssignments} from './closed-assignments.js';
import {createJobAdmission} from './job-admission.js';
import {renewalMilliseconds, stopSilentMilliseconds} from './maximum-lease.js';
import {hasWaitingTasks, type PlacedJob} from './placed-job.js';
import {createStartConditions} from './start-conditions.js';
import {CellWork, createWorkTimes} from './work-times.js';

/**
The endpoints of one availability zone or of a part of it, and the jobs that wait for them or run on them, at the daemon that owns the cell.
*/
export type Cell = {
	readonly name: string;
	/** Accepts or refuses a job from its holder. */
	readonly submit: (holder: string, order: JobOrder) => void;
	/** Cancels an assignment at the request of its holder, also one whose order has not arrived yet. */
	readonly cancel: (holder: string, reference: AssignmentReference) => void;
	/** Drops the jobs of a holder that is lost, so that none of their tasks is running when their callers submit them again. */
	readonly dropHolder: (holder: string) => void;
	/** Extends leases and starts tasks that lacked the confirmation of a holder, after one has arrived. */
	readonly resume: () => void;
	/** Installs the endpoints of the cell that the platform lists. */
	readonly install: (entries: readonly EndpointEntry[]) => void;
	readonly load: () => CellLoad;
	readonly observe: () => CellObservation;
	/** The runs that endpoints execute, or may execute, for this owner. */
	readonly runs: () => readonly ActiveRunDescription[];
	/** Sends no further requests to endpoints; active runs continue under the next owner. */
	readonly close: () => void;
};

export type CellOptions = {
	readonly name: string;
	readonly token: () => number;
	readonly holdMaximumMilliseconds: number;
	/** Time for which a run may go on after this daemon sent the last message that its holder has confirmed, in milliseconds. */
	readonly unconfirmedRunMilliseconds: number;
	readonly remotePenalty: number;
	/** What other owners have learned of kinds of endpoints. */
	readonly kindFactors: () => Readonly<Record<string, number>>;
	readonly createCalls: (entry: EndpointEntry) => EndpointCalls;
	readonly notify: (holder: string, update: JobUpdate) => void;
	/** Monotonic milliseconds at which this daemon sent the last message that a holder is known to have received; negative infinity if none is. */
	readonly lastConfirmedBy: (holder: string) => number;
	/** Asks a holder to confirm at once that it hears this daemon. */
	readonly requestConfirmation: (holder: string) => void;
	/** Other cells as their owners last described them. */
	readonly otherCells: () => readonly CellCapacity[];
	/** Called when tasks were redirected to another cell, with the processor that they need there. */
	readonly onRedirected: (cell: string, processor: number) => void;
	/** Called when an endpoint has accepted a higher token. */
	readonly onFenced: () => void;
	readonly onDecision: RecordDecision;
	readonly onTaskWait: (milliseconds: number) => void;
};

/** Time for holders to submit jobs of an earlier owner again before its runs are stopped. */
const settleMilliseconds = 350;
/** How long a closed assignment is kept, in case its holder submits it again, and where the redirected tasks of a job went. */
const keepClosedMilliseconds = 30_000;
/** How long the end of a job without redirected tasks is kept for a caller that submits the job again. */
const keepEndMilliseconds = 5000;
const sweepMilliseconds = 50;

/**
Creates a cell without jobs or endpoints.

@example
```
const cell = createCell(options);
cell.install(entries);
cell.submit('10.1.0.13:7720', order);
```
*/
export const createCell = (options: CellOptions): Cell => {
	const {notify, onDecision, token, holdMaximumMilliseconds, otherCells} = options;
	const workTimes = createWorkTimes();
	let ownedSince = performance.now();
	let lastToken = token();
	const closedAssignments = createClosedAssignments(keepClosedMilliseconds, keepEndMilliseconds);
	let isClosed = false;

	const isSettled = (): boolean => performance.now() - ownedSince > settleMilliseconds;

	const endpoints = createCellEndpoints({
		kindFactors: options.kindFactors(),
		createEndpoint: (entry, onRunTime) => createCellEndpoint(entry, {
			calls: options.createCalls(entry),
			holdMaximumMilliseconds,
			token,
			ownedSince: () => ownedSince,
			isSettled,
			onChange: dispatch,
			onFenced: options.onFenced,
			onOrphans: adoptAll,
			onDecision,
			onRunTime,
		}),
	});

	/** Restarts the ownership period when the token was raised, since earlier observations are no longer reliable. */
	const checkToken = (): void => {
		if (token() !== lastToken) {
			lastToken = token();
			ownedSince = performance.now();
			for (const endpoint of endpoints.all()) {
				void endpoint.pollNow();
			}
		}
	};

	/** Runs of a job end a lease after this daemon sent the last message that the holder has confirmed: before the holder, which may count this daemon as lost from then on, assigns the tasks elsewhere, and before the caller of a lost holder submits the job again. */
	const leaseLimitOf = ({holder}: PlacedJob): number => options.lastConfirmedBy(holder) + options.holdMaximumMilliseconds;

	/** The lease of an endpoint covers all that runs there, so that a task may also join one that was sent for other jobs, up to the time at which its own may be started elsewhere. */
	const latestLeaseEndOf = ({holder}: PlacedJob): number => options.lastConfirmedBy(holder) + options.unconfirmedRunMilliseconds;

	const renewLease = (job: PlacedJob): void => {
		const isExpiring = leaseLimitOf(job) < performance.now() + renewalMilliseconds;
		if (isExpiring || (hasWaitingTasks(job) && !conditions.isConfirmedLately(job))) {
			options.requestConfirmation(job.holder);
		}
	};

	const jobs = createCellJobs({
		cell: options.name, closedAssignments, stopRuns: endpoints.stopRuns, notify, onRedirected: options.onRedirected, onDecision,
	});

	/** Stops the runs of a job whose holder has confirmed nothing for long, ahead of the end of their leases, or as soon as an owner that is behind notices. */
	const stopSilent = (job: PlacedJob): void => {
		const remaining = leaseLimitOf(job) - performance.now();
		if (job.hasStarted && remaining > Number.NEGATIVE_INFINITY && remaining < stopSilentMilliseconds) {
			jobs.stopRuns(job);
		}
	};

	const capacity = createCellCapacityCache({endpoints, jobs: jobs.all, typicalProcessor: () => admission.typicalProcessor()});

	const conditions = createStartConditions({
		endpoints, isSettled, holdMaximumMilliseconds, leaseLimitOf, latestLeaseEndOf,
	});

	const runs = createCellRuns({
		jobs, endpoints, token, leaseLimitOf, latestLeaseEndOf, isClosed: () => isClosed, notify, onDecision, onTaskWait: options.onTaskWait, onChange: dispatch,
	});

	const placement = createCellPlacement({
		jobs, endpoints, capacity, conditions, latestLeaseEndOf, remotePenalty: options.remotePenalty, otherCells, isClosed: () => isClosed, start: runs.start, measure: workTimes.measure,
	});

	const admission = createJobAdmission({
		jobs, endpoints, capacity, conditions, hasStartedBefore: closedAssignments.hasStarted, isSettled, otherCells, adopt: runs.adopt, measure: workTimes.measure, onDecision, onAccepted: dispatch,
	});

	const submissions = createCellSubmissions({
		jobs, closedAssignments, unconfirmedRunMilliseconds: options.unconfirmedRunMilliseconds, admit: admission.decide, renewLease, notify, onDecision,
	});

	function dispatch(): void {
		placement.dispatch();
	}

	function adoptAll(): void {
		const strayJobs = endpoints.strayJobs();
		for (const job of jobs.all()) {
			if (job.order.generation > 0 || conditions.hasStrayRuns(job, strayJobs)) {
				runs.adopt(job);
			}
		}
	}

	const sweep = (): void => {
		checkToken();
		closedAssignments.sweep();
		for (const job of jobs.all()) {
			renewLease(job);
			stopSilent(job);
		}

		admission.refuseExpired();
		dispatch();
	};

	const timer = setInterval(sweep, sweepMilliseconds);

	return {
		name: options.name,
		submit(holder, order) {
			checkToken();
			submissions.submit(holder, order);
		},
		cancel: submissions.cancel,
		dropHolder: submissions.dropHolder,
		resume() {
			endpoints.extendShortLeases();
			dispatch();
		},
		install(entries) {
			endpoints.install(entries);
			dispatch();
		},
		load: () => workTimes.measure(CellWork.Load, capacity.load),
		runs: () => describeRuns(endpoints.all()),
		observe: () => ({...countContent(jobs.all(), endpoints.all()), work: workTimes.totals()}),
		close() {
			isClosed = true;
			clearInterval(timer);
			endpoints.close();
			jobs.clear();
		},
	};
};
