import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {JobEnd, RefusalReason, type Job} from '@galenakeel/model/request/job.js';
import {positionOf} from '@galenakeel/model/request/task-key.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import {
	FleetMessageKind, type FleetMessage, type JobOrder, type Redirect,
} from '@galenakeel/model/connection/fleet-message.js';
import {longestChain} from '../process/cells/placed-job.js';
import {HolderEvent, type CellOwner, type HeldJob} from '../process/fleet/held-jobs.js';

/**
The answer to the caller of a job.
*/
export type JobAnswer
	= | {readonly end: JobEnd.Complete | JobEnd.Failed | JobEnd.Cancelled}
		| {readonly end: JobEnd.Refused; readonly reason: RefusalReason; readonly retryAfterMilliseconds: number}
	/** Undefined end: whether the job has run can't be known. */
		| {readonly end: undefined};

export type HoldOptions = {
	readonly homeCell: string;
	/** Begins to hear the news of a part. */
	readonly hold: (part: string) => HeldJob;
	/** Waits for an owner of a cell; undefined when there is none in reach in that time. */
	readonly awaitOwner: (cell: string, waitMilliseconds: number) => Promise<CellOwner | undefined>;
	/** Other cells that are in reach, the least busy first. */
	readonly otherCells: () => readonly string[];
	readonly send: (owner: CellOwner, message: FleetMessage) => void;
	/** Longest time for which a run can go on that nobody extends, in milliseconds. */
	readonly leaseMilliseconds: number;
};

/** An answer later than this many objectives is worth nothing. */
const expiryObjectives = 3;
const ownerWaitMilliseconds = 400;
const retryWithoutCellMilliseconds = 2000;
const firstPart = '0';

/**
Tasks of a job that one owner at a time has.
*/
type JobPart = {
	readonly name: string;
	cell: string;
	/** Tasks that have not succeeded, as far as this daemon knows. */
	readonly positions: Set<string>;
	/** Owners that were lost while they had the part. */
	generation: number;
	/** Highest token of these owners, by cell: the endpoints of another cell never saw it. */
	readonly highestTokens: Map<string, number>;
	/** How often owners have handed the tasks to another cell. */
	readonly moves: number;
	/** Its last owner was told that it can't be refused. */
	wasCommitted: boolean;
};

/** What a part's stay at an owner came to. */
enum AssignmentEnd {
	/** All its tasks have succeeded, or other parts have them. */
	Done = 'done',
	/** Nothing of the part has run there. */
	Refused = 'refused',
	/** The owner is gone, or has been replaced. */
	OwnerLost = 'owner-lost',
	/** The job has ended otherwise. */
	JobEnded = 'job-ended',
}

type AssignmentResult
	= | {readonly end: AssignmentEnd.Done | AssignmentEnd.OwnerLost}
		| {readonly end: AssignmentEnd.Refused | AssignmentEnd.JobEnded; readonly answer: JobAnswer};

const positionsOf = (job: Job): readonly string[] =>
	job.steps.flatMap(({tasks}, step) => Array.from({length: tasks}, (_, index) => positionOf({step, index})));

/**
Holds a job for its caller: hands it to the owner of a cell, hands tasks that this one can't start to the owners of others, and the tasks of a lost owner to the next one, until the job has ended.

The objective is the queue's factor times the longest chain of estimates, and the queue's milliseconds.

@example
```
const answer = await holdJob(job, queue, options);
```
*/
export const holdJob = async (job: Job, queue: Queue, options: HoldOptions): Promise<JobAnswer> => {
	const arrivedAt = performance.now();
	const objective = (queue.objectiveFactor * longestChain(job.steps)) + queue.objectiveMilliseconds;
	const allPositions = positionsOf(job);
	const answer = createDeferred<JobAnswer>();
	/** Parts that are under way. */
	const heldParts = new Map<JobPart, HeldJob>();
	let hasStarted = false;
	/** The job has its answer. */
	let isAnswered = false;

	/** While a single part has tasks and nothing has started, the job can still be refused; a part whose tasks all went elsewhere is about to end. */
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

	/** Takes tasks out of a part for another cell; those that it no longer has were taken out before. */
	const split = (part: JobPart, {positions, newPart, cell}: Redirect): void => {
		const moved = positions.filter(position => part.positions.delete(position));
		if (moved.length > 0) {
			void holdPart({
				name: newPart, cell, positions: new Set(moved), generation: 0, highestTokens: new Map(), moves: part.moves + 1, wasCommitted: false,
			});
		}
	};

	/** Follows a part at one owner until it has ended or has to move. */
	const assignPart = async (part: JobPart, owner: CellOwner, {updates}: HeldJob): Promise<AssignmentResult> => {
		const submit = (): void => {
			options.send(owner, {kind: FleetMessageKind.Submit, cell: part.cell, order: createOrder(part)});
		};

		const cancel = (): void => {
			options.send(owner, {
				kind: FleetMessageKind.Cancel, cell: part.cell, job: job.identifier, part: part.name,
			});
		};

		submit();
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
					// The news of the start may have been lost.
					hasStarted = true;
					return one.isComplete ? {end: AssignmentEnd.Done} : {end: AssignmentEnd.JobEnded, answer: {end: JobEnd.Failed}};
				}

				case FleetMessageKind.Refuse: {
					return {end: AssignmentEnd.Refused, answer: {end: JobEnd.Refused, reason: one.reason, retryAfterMilliseconds: one.retryAfterMilliseconds}};
				}

				case FleetMessageKind.Redirect: {
					split(part, one);
					if (part.positions.size === 0) {
						return {end: AssignmentEnd.Done};
					}

					break;
				}

				case HolderEvent.OwnerReconnected: {
					submit();
					break;
				}

				case HolderEvent.OwnerLost: {
					// One that is still there must not start what the next one starts.
					cancel();
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

	/** Finds a cell with an owner; one that may run tasks of the part goes first, for as long as they can run. */
	const findOwnerFor = async (part: JobPart): Promise<CellOwner | undefined> => {
		const ownerWaitLimitMilliseconds = part.generation === 0 ? ownerWaitMilliseconds : options.leaseMilliseconds;
		for (const candidate of new Set([part.cell, options.homeCell, ...options.otherCells()])) {
			const owner = await options.awaitOwner(candidate, candidate === part.cell ? ownerWaitLimitMilliseconds : 0);
			if (owner) {
				part.cell = candidate;
				return owner;
			}
		}

		return undefined;
	};

	/** Lets a part stay at one owner after the other. Returns undefined when its tasks have succeeded, and the answer to the job otherwise. */
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

					// Owners may have started what this one refuses, and it won't take it.
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
