import {performance} from 'node:perf_hooks';
import {
	FleetMessageKind, type AssignmentReference, type JobOrder, type JobUpdate, type TaskRedirect,
} from '@galenakeel/model/connection/fleet-message.js';
import {CellDecision, describePart, type RecordDecision} from './cell-decision.js';
import {createDropped, keyOf, type CellJobs} from './cell-jobs.js';
import type {ClosedAssignments} from './closed-assignments.js';
import type {JobAdmission} from './job-admission.js';
import {
	createPlacedJob, hasOpenTasksOf, isComplete, partKeyOf, referenceOf, succeededPositions, type PlacedJob,
} from './placed-job.js';
import {hasSamePositions} from './same-positions.js';

/**
Answers what holders ask of a cell.
*/
export type CellSubmissions = {
	/** Accepts or refuses a job from its holder. */
	readonly submit: (holder: string, order: JobOrder) => void;
	/** Cancels an assignment at the request of its holder, also one whose order has not arrived yet. */
	readonly cancel: (holder: string, reference: AssignmentReference) => void;
	/** Drops the jobs of a holder that is lost, so that none of their tasks is running when their callers submit them again. */
	readonly dropHolder: (holder: string) => void;
};

export type CellSubmissionsOptions = {
	readonly jobs: Pick<CellJobs, 'all' | 'close' | 'finish' | 'get' | 'recordReturn' | 'repeatRedirects' | 'stopRuns'>;
	readonly closedAssignments: Pick<ClosedAssignments, 'add' | 'findEnd' | 'get' | 'isForgotten'>;
	/** Time for which a run may go on after its owner sent the last message that the holder has confirmed, in milliseconds. */
	readonly unconfirmedRunMilliseconds: number;
	readonly admit: JobAdmission['decide'];
	/** Asks the holder for a confirmation if the leases of a job would end soon. */
	readonly renewLease: (job: PlacedJob) => void;
	readonly notify: (holder: string, update: JobUpdate) => void;
	readonly onDecision: RecordDecision;
};

/** An order that says when the runs of earlier owners have ended. */
type CompleteOrder = JobOrder & Required<Pick<JobOrder, 'earlierRunsMilliseconds'>>;

/** Whether two orders are for the same tasks, and no owner was lost between them. */
const isSameWork = (first: JobOrder, second: JobOrder): boolean =>
	first.generation === second.generation && hasSamePositions(first.excluded, second.excluded);

const createRedirect = (job: PlacedJob, redirect: TaskRedirect): JobUpdate => ({kind: FleetMessageKind.Redirect, ...referenceOf(job), ...redirect});

/**
Creates the answers of a cell.

@example
```
const submissions = createCellSubmissions(options);
submissions.submit('10.1.0.13:7720', order);
```
*/
export const createCellSubmissions = ({jobs, closedAssignments, unconfirmedRunMilliseconds, admit, renewLease, notify, onDecision}: CellSubmissionsOptions): CellSubmissions => {
	/** Resends the updates that a holder may have missed. */
	const resend = (job: PlacedJob): void => {
		const reference = referenceOf(job);
		if (job.hasStarted) {
			notify(job.holder, {kind: FleetMessageKind.Started, ...reference});
		}

		for (const position of succeededPositions(job)) {
			notify(job.holder, {kind: FleetMessageKind.TaskSucceeded, ...reference, position});
		}

		for (const redirect of job.redirects) {
			notify(job.holder, createRedirect(job, redirect));
		}
	};

	/** Completes an order that doesn't say when the runs of earlier owners have ended: those owners may have been confirmed up to now. */
	const complete = (order: JobOrder): CompleteOrder => ({
		...order, earlierRunsMilliseconds: order.earlierRunsMilliseconds ?? (order.generation > 0 ? unconfirmedRunMilliseconds : 0),
	});

	/** Gives a job to the holder that submitted it last. */
	const takeOver = (job: PlacedJob, holder: string, {assignment, earlierRunsMilliseconds}: CompleteOrder): void => {
		onDecision(CellDecision.AssignmentReplaced, {...describePart(job), newHolder: holder, isContinued: true});
		const superseded: JobUpdate = {kind: FleetMessageKind.Superseded, ...referenceOf(job)};
		closedAssignments.add({holder: job.holder, assignment: job.assignment, updates: [superseded]});
		notify(job.holder, superseded);
		job.holder = holder;
		job.assignment = assignment;
		job.earlierRunsEndAt = Math.max(job.earlierRunsEndAt, performance.now() + earlierRunsMilliseconds);
		renewLease(job);
		resend(job);
	};

	/** Stops what runs for an assignment that its holder has replaced by one of other tasks or a later generation. */
	const replace = (job: PlacedJob, holder: string): void => {
		onDecision(CellDecision.AssignmentReplaced, {...describePart(job), newHolder: holder, isContinued: false});
		jobs.finish(job, {kind: FleetMessageKind.Superseded, ...referenceOf(job)});
		jobs.stopRuns(job);
	};

	/** Replaces the other assignments with tasks of an order, since each task of a job is of one assignment at a time, and those of a part with its name. Returns the order with the highest generation and the latest end of earlier runs of these and its own, since its holder may not know of owners that another one has lost. */
	const replaceOverlapping = (holder: string, order: CompleteOrder): CompleteOrder => {
		const key = partKeyOf(order.job.identifier, order.part);
		let {generation, earlierRunsMilliseconds} = order;
		for (const job of jobs.all()) {
			if (keyOf(job) === key || hasOpenTasksOf(job, order)) {
				generation = Math.max(generation, job.order.generation);
				earlierRunsMilliseconds = Math.max(earlierRunsMilliseconds, job.earlierRunsEndAt - performance.now());
				replace(job, holder);
			}
		}

		return {...order, generation, earlierRunsMilliseconds};
	};

	/** Tells a holder what it may have missed of an assignment that is or was here. Returns whether there was one. */
	const repeatAnswer = (holder: string, order: JobOrder): boolean => {
		const known = jobs.get(partKeyOf(order.job.identifier, order.part));
		const isPresent = known?.holder === holder && known.assignment === order.assignment;
		const closed = closedAssignments.get(holder, order.assignment);
		if (!isPresent && !closed) {
			return false;
		}

		onDecision(CellDecision.SubmissionRepeated, {
			job: order.job.identifier, part: order.part, assignment: order.assignment, holder, answer: closed?.updates.at(-1)?.kind,
		});
		if (isPresent) {
			resend(known);
		}

		for (const update of closed?.updates ?? []) {
			notify(holder, update);
		}

		return true;
	};

	/** Answers an order for tasks that have all succeeded under an earlier assignment with the end of that one. Returns whether they have. */
	const repeatEnd = (holder: string, order: JobOrder): boolean => {
		const end = closedAssignments.findEnd(order);
		if (!end) {
			return false;
		}

		const update = {...end, part: order.part, assignment: order.assignment};
		closedAssignments.add({holder, assignment: order.assignment, updates: [update]});
		notify(holder, update);
		return true;
	};

	const submitNew = (holder: string, order: CompleteOrder): void => {
		const job = createPlacedJob(order, holder);
		renewLease(job);
		if (closedAssignments.isForgotten(order.assignedMillisecondsAgo)) {
			jobs.finish(job, createDropped(job, true));
			return;
		}

		if (order.moves > 0) {
			jobs.recordReturn(order);
		}

		if (order.generation === 0) {
			jobs.repeatRedirects(job);
		}

		if (job.redirects.length === 0 || !isComplete(job)) {
			admit(job);
		}
	};

	/** Continues what is or was here of the same tasks: a job that its caller submits again, or a part whose holder missed its end. Begins anew otherwise. */
	const submitAssignment = (holder: string, order: CompleteOrder): void => {
		const known = jobs.get(partKeyOf(order.job.identifier, order.part));
		if (known && isSameWork(known.order, order)) {
			takeOver(known, holder, order);
			return;
		}

		const completed = replaceOverlapping(holder, order);
		if (known !== undefined || !repeatEnd(holder, completed)) {
			submitNew(holder, completed);
		}
	};

	return {
		submit(holder, order) {
			if (!repeatAnswer(holder, order)) {
				submitAssignment(holder, complete(order));
			}
		},
		cancel(holder, reference) {
			const job = jobs.get(partKeyOf(reference.job, reference.part));
			if (job?.holder === holder && job.assignment === reference.assignment) {
				onDecision(CellDecision.JobCancelled, {...describePart(job), hasStarted: job.hasStarted});
				jobs.close(job, []);
				jobs.stopRuns(job);
			} else if (!closedAssignments.get(holder, reference.assignment)) {
				// The order may be on its way on an earlier stream.
				closedAssignments.add({holder, assignment: reference.assignment, updates: []});
			}
		},
		dropHolder(holder) {
			for (const job of jobs.all()) {
				if (job.holder === holder) {
					onDecision(CellDecision.JobCancelled, {...describePart(job), hasStarted: job.hasStarted, lostHolder: holder});
					jobs.finish(job, createDropped(job, job.hasStarted));
					jobs.stopRuns(job);
				}
			}
		},
	};
};
