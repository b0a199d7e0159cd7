import {performance} from 'node:perf_hooks';
import {
	FleetMessageKind, type AssignmentReference, type DroppedPart, type FleetMessage, type JobOrder, type JobUpdate, type PartEnd, type TaskRedirect,
} from '@galenakeel/model/connection/fleet-message.js';
import {JobEnd} from '@galenakeel/model/request/job.js';
import {
	HolderEvent, type CellOwner, type HeldJob, type HolderUpdate,
} from '../process/fleet/held-jobs.js';
import {HolderDecision} from './holder-decision.js';
import type {JobAnswer} from './job-answer.js';
import type {JobPart} from './job-part.js';

/**
How the assignment of a part to an owner ended.
*/
export enum AssignmentEnd {
	/** All its tasks have succeeded or were moved to other parts. */
	Done = 'done',
	/** The owner refused the part and has run none of its tasks under this assignment. */
	Refused = 'refused',
	/** The owner had lost this daemon, and has stopped what ran of the part. */
	Dropped = 'dropped',
	/** The owner is unreachable or has been replaced. */
	OwnerLost = 'owner-lost',
	/** The job has ended in another way. */
	JobEnded = 'job-ended',
}

export type AssignmentResult
	= | {readonly end: AssignmentEnd.Done | AssignmentEnd.OwnerLost}
		| {readonly end: AssignmentEnd.Dropped; readonly hasStarted: boolean}
		/** If the job may have run, it was started for an earlier call of its caller. */
		| {readonly end: AssignmentEnd.Refused; readonly answer: JobAnswer; readonly mayHaveRun: boolean}
		| {readonly end: AssignmentEnd.JobEnded; readonly answer: JobAnswer};

export type AssignPartOptions = {
	/** Identifier of the job. */
	readonly job: string;
	readonly createOrder: (part: JobPart, owner: CellOwner, assignment: number, assignedMillisecondsAgo: number) => JobOrder;
	readonly send: (owner: CellOwner, message: FleetMessage) => void;
	readonly lastHeardFrom: (owner: CellOwner) => number | undefined;
	/** Called when a task of the job has started, or may have. */
	readonly onStarted: () => void;
	/** Moves tasks of a part to a new part in another cell. A repeated redirect finds them moved already and does nothing. */
	readonly split: (part: JobPart, redirect: TaskRedirect) => void;
	/** Whether the caller has disconnected; its parts then receive an event that ends their assignments. */
	readonly hasCallerLeft: () => Promise<boolean>;
	readonly onDecision: (decision: HolderDecision, fields: Readonly<Record<string, unknown>>) => void;
};

/** Time since a moment in monotonic milliseconds, rounded for a log. */
const ageOf = (moment: number | undefined): number | undefined => moment === undefined ? undefined : Math.round(performance.now() - moment);

/** A task that succeeded under an earlier assignment counts; nothing else of that assignment does. */
const isOfAssignment = (update: HolderUpdate, assignment: number): boolean =>
	!('assignment' in update) || update.assignment === assignment || update.kind === FleetMessageKind.TaskSucceeded;

/**
Assigns a part to an owner and follows its updates until the assignment has ended.

@example
```
const result = await assignPart(part, owner, heldJob, options);
```
*/
export const assignPart = async (part: JobPart, owner: CellOwner, heldJob: HeldJob, options: AssignPartOptions): Promise<AssignmentResult> => {
	const assignment = heldJob.assign(part.cell, owner);
	const reference: AssignmentReference = {job: options.job, part: part.name, assignment};
	const assignedAt = performance.now();
	let hasEnded = false;

	const logDecision = (decision: HolderDecision, fields: Readonly<Record<string, unknown>>): void => {
		options.onDecision(decision, {
			...reference, cell: part.cell, owner: owner.address, term: owner.term, generation: part.generation, sinceAssignedMilliseconds: ageOf(assignedAt), ...fields,
		});
	};

	const submit = (isRepeated: boolean): void => {
		options.send(owner, {
			kind: FleetMessageKind.Submit, cell: part.cell, term: owner.term, order: options.createOrder(part, owner, assignment, performance.now() - assignedAt),
		});
		logDecision(HolderDecision.PartSubmitted, {isRepeated});
	};

	/** Runs beside the task that reads the updates, which must not wait: the end of the caller may be the next of them. */
	const submitAgain = async (): Promise<void> => {
		if (!await options.hasCallerLeft() && !hasEnded) {
			submit(true);
		}
	};

	const cancel = (): void => {
		options.send(owner, {kind: FleetMessageKind.Cancel, cell: part.cell, ...reference});
	};

	const readRedirect = (redirect: TaskRedirect): void => {
		logDecision(HolderDecision.UpdateRead, {
			update: FleetMessageKind.Redirect, to: redirect.cell, tasks: redirect.positions.length, isUsual: true,
		});
		options.split(part, redirect);
	};

	const readEnd = ({isComplete, redirects}: PartEnd): AssignmentResult => {
		for (const redirect of redirects) {
			options.split(part, redirect);
		}

		if (part.positions.size > 0) {
			// They ran there; the updates that report it may have been lost.
			options.onStarted();
		}

		logDecision(HolderDecision.UpdateRead, {
			update: FleetMessageKind.End, isComplete, openTasks: part.positions.size, isUsual: isComplete,
		});
		return isComplete ? {end: AssignmentEnd.Done} : {end: AssignmentEnd.JobEnded, answer: {end: JobEnd.Failed}};
	};

	const readDropped = ({hasStarted, succeeded, redirects}: DroppedPart): AssignmentResult => {
		for (const position of succeeded) {
			part.positions.delete(position);
		}

		for (const redirect of redirects) {
			options.split(part, redirect);
		}

		if (hasStarted) {
			options.onStarted();
		}

		logDecision(HolderDecision.UpdateRead, {update: FleetMessageKind.Dropped, hasStarted, openTasks: part.positions.size});
		return part.positions.size === 0 ? {end: AssignmentEnd.Done} : {end: AssignmentEnd.Dropped, hasStarted};
	};

	/** Processes an update of the owner. Returns the result if the assignment has ended with it. */
	const readUpdate = (update: JobUpdate): AssignmentResult | undefined => {
		switch (update.kind) {
			case FleetMessageKind.Started: {
				options.onStarted();
				return undefined;
			}

			case FleetMessageKind.TaskSucceeded: {
				options.onStarted();
				part.positions.delete(update.position);
				return undefined;
			}

			case FleetMessageKind.Redirect: {
				readRedirect(update);
				return part.positions.size === 0 ? {end: AssignmentEnd.Done} : undefined;
			}

			case FleetMessageKind.End: {
				return readEnd(update);
			}

			case FleetMessageKind.Refuse: {
				const {reason, retryAfterMilliseconds, mayHaveRun} = update;
				logDecision(HolderDecision.UpdateRead, {update: update.kind, reason, mayHaveRun});
				if (mayHaveRun) {
					options.onStarted();
				}

				return {end: AssignmentEnd.Refused, answer: {end: JobEnd.Refused, reason, retryAfterMilliseconds}, mayHaveRun};
			}

			case FleetMessageKind.Dropped: {
				return readDropped(update);
			}

			case FleetMessageKind.Superseded: {
				logDecision(HolderDecision.UpdateRead, {update: update.kind});
				return {end: AssignmentEnd.JobEnded, answer: {end: undefined}};
			}
		}
	};

	/** Processes an update or a local event. Returns the result if the assignment has ended with it. */
	const read = (update: HolderUpdate): AssignmentResult | undefined => {
		switch (update.kind) {
			case HolderEvent.OwnerReconnected: {
				void submitAgain();
				return undefined;
			}

			case HolderEvent.OwnerLost: {
				// An owner that is still running must not start tasks that its successor starts.
				cancel();
				logDecision(HolderDecision.OwnerLost, {heardMillisecondsAgo: ageOf(options.lastHeardFrom(owner))});
				return {end: AssignmentEnd.OwnerLost};
			}

			case HolderEvent.CallerDisconnected: {
				cancel();
				return {end: AssignmentEnd.JobEnded, answer: {end: JobEnd.Cancelled}};
			}

			case FleetMessageKind.Started:
			case FleetMessageKind.TaskSucceeded:
			case FleetMessageKind.Redirect:
			case FleetMessageKind.End:
			case FleetMessageKind.Refuse:
			case FleetMessageKind.Dropped:
			case FleetMessageKind.Superseded: {
				return readUpdate(update);
			}
		}
	};

	submit(false);
	for await (const update of heldJob.updates) {
		if (!isOfAssignment(update, assignment)) {
			logDecision(HolderDecision.UpdateIgnored, {update: update.kind});
			continue;
		}

		const result = read(update);
		if (result) {
			hasEnded = true;
			return result;
		}
	}

	return {end: AssignmentEnd.JobEnded, answer: {end: undefined}};
};
