import {performance} from 'node:perf_hooks';
import type {
	JobOrder, JobUpdate, PartEnd, TaskRedirect,
} from '@galenakeel/model/connection/fleet-message.js';

/**
An assignment that is no longer in its cell, and what its owner said last.
*/
export type ClosedAssignment = {
	readonly holder: string;
	readonly assignment: number;
	/** The updates that a holder has to know at the least, in order; none after a cancel. */
	readonly updates: readonly JobUpdate[];
};

/** What identifies the tasks of an order, how often they had moved by then, and how many owners had been lost that may have started them. */
type OrderedTasks = Pick<JobOrder, 'job' | 'excluded' | 'moves' | 'generation'>;

/**
The assignments that have left a cell: what an owner has said of one stays said when the holder submits it again.
*/
export type ClosedAssignments = {
	readonly add: (closed: ClosedAssignment) => void;
	readonly get: (holder: string, assignment: number) => ClosedAssignment | undefined;
	/**
	Keeps the end of tasks that have all succeeded, for a caller that submits the job again at once.

	@param tasks The order of the assignment, which names the tasks.
	*/
	readonly addEnd: (tasks: OrderedTasks, end: PartEnd) => void;
	/** The end of the same tasks under an earlier assignment, if all of them succeeded, or were redirected and neither have come back since nor may have been started by another owner. Holders may name the part differently. */
	readonly findEnd: (tasks: OrderedTasks) => PartEnd | undefined;
	/** Keeps where tasks of a job went, since they may still be stopped there when its caller submits the job again. */
	readonly addRedirects: (job: string, redirects: readonly TaskRedirect[]) => void;
	readonly redirectsOf: (job: string) => readonly TaskRedirect[];
	/** Records that tasks of a job have been started. */
	readonly addStarted: (job: string) => void;
	/** Whether tasks of a job have been started under an assignment that is kept. */
	readonly hasStarted: (job: string) => boolean;
	/** Replaces the redirects that are kept of a job, also those in ends. */
	readonly replaceRedirects: (job: string, replace: (redirects: readonly TaskRedirect[]) => readonly TaskRedirect[]) => void;
	/** Whether an assignment of that age may have been removed. */
	readonly isForgotten: (ageMilliseconds: number) => boolean;
	/** Removes the assignments whose retention period is over. */
	readonly sweep: () => void;
};

const keyOf = (holder: string, assignment: number): string => `${holder} ${assignment}`;

const tasksKeyOf = ({job, excluded}: OrderedTasks): string => [job.identifier, ...excluded.toSorted()].join(' ');

type KeptEnd = {readonly moves: number; readonly generation: number; end: PartEnd; readonly at: number};

/** Margin for the time that an order is on its way. */
const transitMilliseconds = 2000;

/** Removes the entries that were added before a time. Maps are in the order in which entries were added. */
const removeOlder = (entries: Map<string, {readonly at: number}>, oldest: number): void => {
	for (const [key, {at}] of entries) {
		if (at >= oldest) {
			break;
		}

		entries.delete(key);
	}
};

/**
Creates an empty set.

@param keepMilliseconds How long an assignment is kept, in milliseconds; also the end of a part with redirected tasks, since these may go on elsewhere.
@param keepEndMilliseconds How long the end of any other part is kept for other assignments of the same tasks, in milliseconds.

@example
```
const closedAssignments = createClosedAssignments(30_000, 5000);
closedAssignments.add({holder: '10.1.0.13:7720', assignment: 1, updates: [refusal]});
closedAssignments.get('10.1.0.13:7720', 1)?.updates; // => [refusal]
```
*/
export const createClosedAssignments = (keepMilliseconds: number, keepEndMilliseconds: number): ClosedAssignments => {
	const assignments = new Map<string, ClosedAssignment & {readonly at: number}>();
	const ends = new Map<string, KeptEnd>();
	const endsWithRedirects = new Map<string, KeptEnd>();
	/** By job. */
	const redirected = new Map<string, {redirects: readonly TaskRedirect[]; readonly at: number}>();
	/** By job. */
	const started = new Map<string, {readonly at: number}>();
	return {
		add(closed) {
			const key = keyOf(closed.holder, closed.assignment);
			assignments.delete(key);
			assignments.set(key, {...closed, at: performance.now()});
		},
		get: (holder, assignment) => assignments.get(keyOf(holder, assignment)),
		addEnd(tasks, end) {
			const key = tasksKeyOf(tasks);
			ends.delete(key);
			endsWithRedirects.delete(key);
			const kept = end.redirects.length > 0 ? endsWithRedirects : ends;
			kept.set(key, {
				moves: tasks.moves, generation: tasks.generation, end, at: performance.now(),
			});
		},
		findEnd(tasks) {
			const key = tasksKeyOf(tasks);
			const moved = endsWithRedirects.get(key);
			const hasComeBack = moved !== undefined && moved.moves < tasks.moves;
			// An owner that was lost since may have started what this one redirected.
			const mayRunElsewhere = moved !== undefined && moved.generation < tasks.generation;
			return hasComeBack || mayRunElsewhere ? undefined : (moved ?? ends.get(key))?.end;
		},
		addRedirects(job, redirects) {
			const earlier = redirected.get(job)?.redirects ?? [];
			redirected.delete(job);
			redirected.set(job, {redirects: [...earlier, ...redirects], at: performance.now()});
		},
		addStarted(job) {
			started.delete(job);
			started.set(job, {at: performance.now()});
		},
		hasStarted: job => started.has(job),
		redirectsOf: job => redirected.get(job)?.redirects ?? [],
		replaceRedirects(job, replace) {
			const known = redirected.get(job);
			if (known) {
				known.redirects = replace(known.redirects);
			}

			for (const kept of endsWithRedirects.values()) {
				if (kept.end.job === job) {
					kept.end = {...kept.end, redirects: replace(kept.end.redirects)};
				}
			}
		},
		isForgotten: ageMilliseconds => ageMilliseconds > keepMilliseconds - transitMilliseconds,
		sweep() {
			const now = performance.now();
			removeOlder(assignments, now - keepMilliseconds);
			removeOlder(started, now - keepMilliseconds);
			removeOlder(endsWithRedirects, now - keepMilliseconds);
			removeOlder(ends, now - keepEndMilliseconds);
			removeOlder(redirected, now - keepEndMilliseconds);
		},
	};
};
