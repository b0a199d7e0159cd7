import {performance} from 'node:perf_hooks';
import type {CellCapacity} from './admit-job.js';
import type {CellCapacityCache} from './cell-capacity-cache.js';
import type {CellEndpoints} from './cell-endpoints.js';
import type {CellJobs} from './cell-jobs.js';
import type {CellRuns} from './cell-runs.js';
import {
	bestFactorOf, fittingJobsOf, movableStepsOf, waitingStepsOf,
} from './evaluate-arrival.js';
import {placeTasks} from './place-tasks.js';
import {hasWaitingTasks, isMovable, type PlacedJob} from './placed-job.js';
import {shareTasks, type TaskShare} from './share-tasks.js';
import type {StartConditions} from './start-conditions.js';
import {CellWork, type WorkTimes} from './work-times.js';

/**
The placement of waiting tasks on the endpoints of a cell, and of those that find no capacity there in other cells.
*/
export type CellPlacement = {
	/** Schedules the placement of waiting tasks after the messages and answers that have arrived are processed, and after a pause as long as the last placement took, so that placements leave time to process what arrives. */
	readonly dispatch: () => void;
};

export type CellPlacementOptions = {
	readonly jobs: Pick<CellJobs, 'all' | 'get' | 'transfer'>;
	readonly endpoints: Pick<CellEndpoints, 'strayJobs'>;
	readonly capacity: Pick<CellCapacityCache, 'available' | 'invalidate'>;
	readonly conditions: Pick<StartConditions, 'isAwaitingFirstReports' | 'isConfirmedLately' | 'isStartable'>;
	/** Monotonic milliseconds after which no lease may end that covers a run of the job. */
	readonly latestLeaseEndOf: (job: PlacedJob) => number;
	readonly remotePenalty: number;
	/** Other cells as their owners last described them. */
	readonly otherCells: () => readonly CellCapacity[];
	readonly isClosed: () => boolean;
	readonly start: CellRuns['start'];
	readonly measure: WorkTimes['measure'];
};

/** What the placement of tasks in this cell leaves to other cells. */
type PlacedHere = {
	/** Factor of the fastest endpoint. */
	readonly bestFactor: number;
	/** Jobs whose remaining tasks other cells may get. */
	readonly shareable: readonly PlacedJob[];
};

/**
Creates the placement of a cell.

@example
```
const placement = createCellPlacement(options);
placement.dispatch();
```
*/
export const createCellPlacement = (options: CellPlacementOptions): CellPlacement => {
	const {jobs, capacity, conditions} = options;
	let isDispatching = false;
	/** Monotonic milliseconds. */
	let nextPlacementAt = 0;

	/** The jobs with tasks that may start now. */
	const startableJobs = (): readonly PlacedJob[] => {
		const waiting = jobs.all().filter(job => hasWaitingTasks(job));
		if (waiting.length === 0 || conditions.isAwaitingFirstReports()) {
			return [];
		}

		const strayJobs = options.endpoints.strayJobs();
		return waiting.filter(job => conditions.isStartable(job, strayJobs));
	};

	const latestLeaseEndOf = (part: string): number => {
		const job = jobs.get(part);
		return job ? options.latestLeaseEndOf(job) : Number.NEGATIVE_INFINITY;
	};

	/** Starts waiting tasks on endpoints of this cell. A job that fits and whose holder has not confirmed lately isn't shared: its confirmation was requested. */
	const placeHere = (startable: readonly PlacedJob[], now: number): PlacedHere => {
		const capacities = capacity.available();
		const bestFactor = bestFactorOf(capacities);
		const fitting = new Set(fittingJobsOf(startable, capacities));
		const placements = placeTasks(waitingStepsOf([...fitting], bestFactor, now), capacities, {now, remotePenalty: options.remotePenalty, latestLeaseEndOf});
		for (const placement of placements) {
			options.start(placement);
		}

		return {bestFactor, shareable: startable.filter(job => conditions.isConfirmedLately(job) || !fitting.has(job))};
	};

	/** Redirects tasks that found no capacity here to a cell that has some. */
	const transferShare = ({part, position, indexes, cell}: TaskShare): void => {
		const job = jobs.get(part);
		if (job) {
			jobs.transfer(job, indexes.map(index => ({step: position, index})), cell);
		}
	};

	/** Redirects tasks that found no place here to cells with free capacity. */
	const shareWaiting = ({shareable, bestFactor}: PlacedHere, now: number): void => {
		const movable = shareable.filter(job => hasWaitingTasks(job) && isMovable(job));
		const others = movable.length > 0 ? options.otherCells().filter(({free}) => free.length > 0) : [];
		if (others.length === 0) {
			return;
		}

		for (const share of shareTasks(movableStepsOf(movable, bestFactor, now), others, now)) {
			transferShare(share);
		}
	};

	const placeWaiting = (): void => {
		capacity.invalidate();
		isDispatching = false;
		const startable = options.isClosed() ? [] : startableJobs();
		if (startable.length === 0) {
			return;
		}

		const now = performance.now();
		const placed = options.measure(CellWork.Placing, () => placeHere(startable, now));
		options.measure(CellWork.Sharing, () => {
			shareWaiting(placed, now);
		});
		const endedAt = performance.now();
		nextPlacementAt = endedAt + (endedAt - now);
		capacity.invalidate();
	};

	return {
		dispatch() {
			capacity.invalidate();
			if (isDispatching) {
				return;
			}

			isDispatching = true;
			const pauseMilliseconds = nextPlacementAt - performance.now();
			if (pauseMilliseconds >= 1) {
				setTimeout(placeWaiting, pauseMilliseconds);
			} else {
				setImmediate(placeWaiting);
			}
		},
	};
};
