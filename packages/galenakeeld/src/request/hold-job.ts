import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {JobEnd, RefusalReason, type Job} from '@galenakeel/model/request/job.js';
import {positionOf} from '@galenakeel/model/request/task-key.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import type {FleetMessage, JobOrder, TaskRedirect} from '@galenakeel/model/connection/fleet-message.js';
import {criticalPathOf} from '../process/cells/placed-job.js';
import {HolderEvent, type CellOwner, type HeldJob} from '../process/fleet/held-jobs.js';
import {AssignmentEnd, assignPart, type AssignPartOptions} from './assign-part.js';
import type {HolderDecision} from './holder-decision.js';
import type {JobAnswer} from './job-answer.js';
import {createJobPart, earlierRunsMilliseconds, type JobPart} from './job-part.js';

export type HoldOptions = {
	readonly homeCell: string;
	/** Whether the caller has disconnected, which the parts of the job may not have read yet. Reads first what had arrived from callers. */
	readonly hasCallerLeft: () => Promise<boolean>;
	/** Begins to hold a part, and returns its updates. */
	readonly hold: () => HeldJob;
	/** Waits for a reachable owner of a cell; undefined when there is none within that time. */
	readonly awaitOwner: (cell: string, waitMilliseconds: number) => Promise<CellOwner | undefined>;
	/** Other cells with a reachable owner, the least busy first. */
	readonly otherCells: () => readonly string[];
	readonly send: (owner: CellOwner, message: FleetMessage) => void;
	/** How long a part whose owner is lost waits for a successor before it goes to another cell, in milliseconds: until none of its tasks runs any more. */
	readonly successorWaitMilliseconds: number;
	/** Monotonic milliseconds at which an owner was last heard; undefined while it isn't in sight. */
	readonly lastHeardFrom: (owner: CellOwner) => number | undefined;
	/** Monotonic milliseconds by which each run has ended that an owner may have started for jobs of this daemon, if no further frame is confirmed to it before its assignment is cancelled. */
	readonly runsEndAt: (owner: CellOwner) => number;
	readonly onDecision: (decision: HolderDecision, fields: Readonly<Record<string, unknown>>) => void;
};

/** The answer of a job expires after this many objectives. */
const expiryObjectives = 3;
const ownerWaitMilliseconds = 400;
const retryWithoutCellMilliseconds = 2000;

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
	let partCount = 0;

	/** Parts are named "0", "1" and so on, in the order of their creation. */
	const createName = (): string => {
		const name = String(partCount);
		partCount++;
		return name;
	};

	/** The job can be refused while nothing has started and only one part has tasks. Parts without tasks don't count: all their tasks were redirected, and they are about to end. */
	const isCommitted = (): boolean => hasStarted || [...heldParts.keys()].filter(({positions}) => positions.size > 0).length > 1;

	const createOrder = (part: JobPart, owner: CellOwner, assignment: number, assignedMillisecondsAgo: number): JobOrder => {
		part.wasCommitted = isCommitted();
		const age = performance.now() - arrivedAt;
		return {
			job,
			part: part.name,
			assignment,
			assignedMillisecondsAgo: Math.round(assignedMillisecondsAgo),
			service: queue.service,
			queue: queue.name,
			priority: queue.priority,
			mostAttempts: queue.mostAttempts,
			objectiveMilliseconds: objective,
			dueInMilliseconds: objective - age,
			worthlessInMilliseconds: (expiryObjectives * objective) - age,
			excluded: allPositions.filter(position => !part.positions.has(position)),
			generation: part.generation,
			earlierRunsMilliseconds: earlierRunsMilliseconds(part, owner),
			highestToken: part.highestTokens.get(part.cell) ?? 0,
			moves: part.moves,
			isCommitted: part.wasCommitted,
		};
	};

	const split = (part: JobPart, {positions, cell}: TaskRedirect): void => {
		const moved = positions.filter(position => part.positions.delete(position));
		if (moved.length > 0) {
			void holdPart(createJobPart({
				name: createName(), cell, positions: moved, moves: part.moves + 1, earlierRuns: part.earlierRuns,
			}));
		}
	};

	const assignOptions: AssignPartOptions = {
		job: job.identifier,
		createOrder,
		send: options.send,
		lastHeardFrom: options.lastHeardFrom,
		onStarted() {
			hasStarted = true;
		},
		split,
		hasCallerLeft: options.hasCallerLeft,
		onDecision: options.onDecision,
	};

	/** Finds a cell with an owner. The part's own cell comes first; after a lost owner, the wait for a successor lasts until no task runs there any more. */
	const findOwnerFor = async (part: JobPart): Promise<CellOwner | undefined> => {
		const ownerWaitLimitMilliseconds = part.generation === 0 ? ownerWaitMilliseconds : options.successorWaitMilliseconds;
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

	/** Later starts of the part have to wait for what the owner may have started. */
	const recordPossibleRuns = (part: JobPart, owner: CellOwner): void => {
		part.generation++;
		part.earlierRuns.push({owner, endAt: options.runsEndAt(owner)});
		part.highestTokens.set(part.cell, Math.max(part.highestTokens.get(part.cell) ?? 0, owner.token));
	};

	/** Assigns a part to one owner after another. Returns undefined when its tasks have succeeded or were moved, and the answer to the job otherwise. */
	const runPart = async (part: JobPart, heldJob: HeldJob): Promise<JobAnswer | undefined> => {
		for (;;) {
			const candidate = await findOwnerFor(part);
			if (await options.hasCallerLeft() || isAnswered) {
				return {end: JobEnd.Cancelled};
			}

			if (!candidate) {
				return part.generation === 0 && !isCommitted() ? {end: JobEnd.Refused, reason: RefusalReason.NoCell, retryAfterMilliseconds: retryWithoutCellMilliseconds} : {end: undefined};
			}

			// It may have been lost in the meantime.
			const owner = await options.awaitOwner(part.cell, 0);
			if (!owner) {
				continue;
			}

			const result = await assignPart(part, owner, heldJob, assignOptions);
			heldJob.unassign();
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

					// Tasks of the part may have been started by a lost owner or for an earlier call, or the home cell refused a committed part, so the outcome is unknown.
					if (part.generation > 0 || (isAtHome && (part.wasCommitted || result.mayHaveRun))) {
						return {end: undefined};
					}

					part.cell = options.homeCell;
					break;
				}

				case AssignmentEnd.Dropped: {
					if (result.hasStarted) {
						recordPossibleRuns(part, owner);
					}

					break;
				}

				case AssignmentEnd.OwnerLost: {
					recordPossibleRuns(part, owner);
				}
			}
		}
	};

	async function holdPart(part: JobPart): Promise<void> {
		const holding = options.hold();
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

	void holdPart(createJobPart({
		name: createName(), cell: options.homeCell, positions: allPositions, moves: 0,
	}));
	try {
		return await answer.promise;
	} finally {
		isAnswered = true;
		for (const {updates} of heldParts.values()) {
			updates.push({kind: HolderEvent.CallerDisconnected});
		}
	}
};
