import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {JobEnd, RefusalReason, type Job} from '@galenakeel/model/request/job.js';
import {positionOf} from '@galenakeel/model/request/task-key.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import {
	FleetMessageKind, type FleetMessage, type JobOrder, type Redirect,
} from '@galenakeel/model/connection/fleet-message.js';
import {criticalPathOf} from '../process/cells/placed-job.js';
import {HolderEvent, type CellOwner, type HeldJob} from '../process/fleet/held-jobs.js';
import {HolderDecision} from './holder-decision.js';

/**
The answer to the caller of a job.
*/
export type JobAnswer
	= | {readonly end: JobEnd.Complete | JobEnd.Failed | JobEnd.Cancelled}
		| {readonly end: JobEnd.Refused; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number}
	/** Undefined end: it is unknown whether the job has run. */
		| {readonly end: undefined};

export type HoldOptions = {
	readonly homeCell: string;
	/** Subscribes to the updates of a part. */
	readonly hold: (part: string) => HeldJob;
	/** Waits for a reachable owner of a cell; undefined when there is none within that time. */
	readonly awaitOwner: (cell: string, waitMilliseconds: number) => Promise<CellOwner | undefined>;
	/** Other cells with a reachable owner, the least busy first. */
	readonly otherCells: () => readonly string[];
	readonly send: (owner: CellOwner, message: FleetMessage) => void;
	/** Maximum time for which a run continues without an extension of its lease, in milliseconds. */
	readonly leaseMilliseconds: number;
	/** Monotonic milliseconds at which an owner was last heard; undefined while it isn't in sight. */
	readonly lastHeardFrom: (owner: CellOwner) => number | undefined;
	readonly onDecision: (decision: HolderDecision, fields: Readonly<Record<string, unknown>>) => void;
};

/** The answer of a job expires after this many objectives. */
const expiryObjectives = 3;
const ownerWaitMilliseconds = 400;
const retryWithoutCellMilliseconds = 2000;
const firstPart = '0';

/**
A subset of a job's tasks, assigned to one owner at a time.
*/
type JobPart = {
	readonly name: string;
	cell: string;
	/** Tasks that this daemon doesn't know to have succeeded. */
	readonly positions: Set<string>;
	/** Number of owners lost while the part was assigned to them. */
	generation: number;
	/** Highest fencing token of these owners, by cell, since the endpoints of one cell never receive the tokens of another. */
	readonly highestTokens: Map<string, number>;
	/** Number of times that owners have redirected the tasks to another cell. */
	readonly moves: number;
	/** The last order for the part said that it can't be refused. */
	wasCommitted: boolean;
};

/** How the assignment of a part to an owner ended. */
enum AssignmentEnd {
	/** All its tasks have succeeded or were moved to other parts. */
	Done = 'done',
	/** The owner refused the part and has run none of its tasks. */
	Refused = 'refused',
	/** The owner is unreachable or has been replaced. */
	OwnerLost = 'owner-lost',
	/** The job has ended in another way. */
	JobEnded = 'job-ended',
}

type AssignmentResult
	= | {readonly end: AssignmentEnd.Done | AssignmentEnd.OwnerLost}
		| {readonly end: AssignmentEnd.Refused | AssignmentEnd.JobEnded; readonly answer: JobAnswer};

/** Time since a moment in monotonic milliseconds, rounded for a log. */
const ageOf = (moment: number | undefined): number | undefined => moment === undefined ? undefined : Math.round(performance.now() - moment);

const positionsOf = (job: Job): readonly string[] =>
	job.steps.flatMap(({tasks}, step) => Array.from({length: tasks}, (_, index) => positionOf({step, index})));

/**
Holds a job for its caller until the job has ended: assigns it to the owner of its home cell, reassigns redirected tasks to the owners of other cells, and reassigns the tasks of a lost owner to its successor.

The latency objective is the critical path of the estimates times the queue's `objectiveFactor`, plus the queue's `objectiveMilliseconds`.

@example
```
const answer = await holdJob(job, queue, options);
```
*/
export const holdJob = async (job: Job, queue: Queue, options: HoldOptions): Promise<JobAnswer> => {
	const arrivedAt = performance.now();
	const objective = (queue.objectiveFactor * criticalPathOf(job.steps)) + queue.objectiveMilliseconds;
	const allPositions = positionsOf(job);
	const answer = createDeferred<JobAnswer>();
	/** Parts that have not ended. */
	const heldParts = new Map<JobPart, HeldJob>();
	let hasStarted = false;
	/** The job has been answered, or this call has failed. */
	let isAnswered = false;

	/** The job can be refused while nothing has started and only one part has tasks. Parts without tasks don't count: all their tasks were redirected, and they are about to end. */
	const isCommitted = (): boolean => hasStarted || [...heldParts.keys()].filter(({positions}) => positions.size > 0).length > 1;

	const createOrder = (part: JobPart): JobOrder => {
		part.wasCommitted = isCommitted();
		const age = performance.now() - arrivedAt;
		return {
			job,
			part: part.name,
			service: queue.service,
			queue: queue.name,
			priority: queue.priority,
			mostAttempts: queue.mostAttempts,
			objectiveMilliseconds: objective,
			dueInMilliseconds: objective - age,
			worthlessInMilliseconds: (expiryObjectives * objective) - age,
			excluded: allPositions.filter(position => !part.positions.has(position)),
			generation: part.generation,
			highestToken: part.highestTokens.get(part.cell) ?? 0,
			moves: part.moves,
			isCommitted: part.wasCommitted,
		};
	};

	/** Moves tasks of a part to a new part in another cell. A repeated redirect finds them already moved and does nothing. */
	const split = (part: JobPart, {positions, newPart, cell}: Redirect): void => {
		const moved = positions.filter(position => part.positions.delete(position));
		if (moved.length > 0) {
			void holdPart({
				name: newPart, cell, positions: new Set(moved), generation: 0, highestTokens: new Map(), moves: part.moves + 1, wasCommitted: false,
			});
		}
	};

	/** Assigns a part to an owner and processes its updates until the part has ended or needs another owner. */
	const assignPart = async (part: JobPart, owner: CellOwner, {updates}: HeldJob): Promise<AssignmentResult> => {
		const assignedAt = performance.now();
		const logDecision = (decision: HolderDecision, fields: Readonly<Record<string, unknown>>): void => {
			options.onDecision(decision, {
				job: job.identifier, part: part.name, cell: part.cell, owner: owner.address, term: owner.term, generation: part.generation, sinceAssignedMilliseconds: Math.round(performance.now() - assignedAt), ...fields,
			});
		};

		const submit = (): void => {
			options.send(owner, {kind: FleetMessageKind.Submit, cell: part.cell, order: createOrder(part)});
		};

		const cancel = (): void => {
			options.send(owner, {
				kind: FleetMessageKind.Cancel, cell: part.cell, job: job.identifier, part: part.name,
			});
		};

		submit();
		logDecision(HolderDecision.PartSubmitted, {isRepeated: false});
		for await (const one of updates) {
			switch (one.kind) {
				case FleetMessageKind.Started: {
					hasStarted = true;
					break;
				}

				case FleetMessageKind.TaskSucceeded: {
					hasStarted = true;
					part.positions.delete(one.position);
					break;
				}

				case FleetMessageKind.End: {
					// The update that reports the start may have been lost.
					hasStarted = true;
					logDecision(HolderDecision.UpdateRead, {update: one.kind, isComplete: one.isComplete, openTasks: part.positions.size});
					return one.isComplete ? {end: AssignmentEnd.Done} : {end: AssignmentEnd.JobEnded, answer: {end: JobEnd.Failed}};
				}

				case FleetMessageKind.Refuse: {
					logDecision(HolderDecision.UpdateRead, {update: one.kind, reason: one.reason});
					return {end: AssignmentEnd.Refused, answer: {end: JobEnd.Refused, reason: one.reason, retryAfterMilliseconds: one.retryAfterMilliseconds}};
				}

				case FleetMessageKind.Redirect: {
					logDecision(HolderDecision.UpdateRead, {update: one.kind, newPart: one.newPart, tasks: one.positions.length});
					split(part, one);
					if (part.positions.size === 0) {
						return {end: AssignmentEnd.Done};
					}

					break;
				}

				case HolderEvent.OwnerReconnected: {
					submit();
					logDecision(HolderDecision.PartSubmitted, {isRepeated: true});
					break;
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
			}
		}

		return {end: AssignmentEnd.JobEnded, answer: {end: undefined}};
	};

	/** Finds a cell with an owner. The part's own cell comes first; after a lost owner, the wait for a successor lasts as long as the lease, because tasks may still run there. */
	const findOwnerFor = async (part: JobPart): Promise<CellOwner | undefined> => {
		const ownerWaitLimitMilliseconds = part.generation === 0 ? ownerWaitMilliseconds : options.leaseMilliseconds;
		const owner = await options.awaitOwner(part.cell, ownerWaitLimitMilliseconds);
		if (owner) {
			return owner;
		}

		for (const candidate of [options.homeCell, ...options.otherCells()]) {
			const other = await options.awaitOwner(candidate, 0);
			if (other) {
				part.cell = candidate;
				return other;
			}
		}

		return undefined;
	};

	/** Assigns a part to one owner after another. Returns undefined when its tasks have succeeded or were moved, and the answer to the job otherwise. */
	const runPart = async (part: JobPart, heldJob: HeldJob): Promise<JobAnswer | undefined> => {
		for (;;) {
			const owner = await findOwnerFor(part);
			if (isAnswered) {
				return {end: JobEnd.Cancelled};
			}

			if (!owner) {
				return part.generation === 0 && !isCommitted() ? {end: JobEnd.Refused, reason: RefusalReason.NoCell, retryAfterMilliseconds: retryWithoutCellMilliseconds} : {end: undefined};
			}

			heldJob.setOwner(part.cell, owner);
			const result = await assignPart(part, owner, heldJob);
			heldJob.setOwner(part.cell, undefined);
			switch (result.end) {
				case AssignmentEnd.Done: {
					return undefined;
				}

				case AssignmentEnd.JobEnded: {
					return result.answer;
				}

				case AssignmentEnd.Refused: {
					const isAtHome = part.cell === options.homeCell;
					if (isAtHome && part.generation === 0 && !isCommitted()) {
						return result.answer;
					}

					// Tasks of the part may have been started by a lost owner, or the home cell refused a committed part, so the outcome is unknown.
					if (part.generation > 0 || (isAtHome && part.wasCommitted)) {
						return {end: undefined};
					}

					part.cell = options.homeCell;
					break;
				}

				case AssignmentEnd.OwnerLost: {
					part.generation++;
					part.highestTokens.set(part.cell, Math.max(part.highestTokens.get(part.cell) ?? 0, owner.token));
				}
			}
		}
	};

	async function holdPart(part: JobPart): Promise<void> {
		const holding = options.hold(part.name);
		heldParts.set(part, holding);
		try {
			const partAnswer = await runPart(part, holding);
			heldParts.delete(part);
			if (partAnswer) {
				answer.resolve(partAnswer);
			} else if (heldParts.size === 0) {
				answer.resolve({end: JobEnd.Complete});
			}
		} catch (error) {
			answer.reject(error);
		} finally {
			holding.release();
		}
	}

	void holdPart({
		name: firstPart, cell: options.homeCell, positions: new Set(allPositions), generation: 0, highestTokens: new Map(), moves: 0, wasCommitted: false,
	});
	try {
		return await answer.promise;
	} finally {
		isAnswered = true;
		for (const {updates} of heldParts.values()) {
			updates.push({kind: HolderEvent.CallerDisconnected});
		}
	}
};
