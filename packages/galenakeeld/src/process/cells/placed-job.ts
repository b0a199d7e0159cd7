import {performance} from 'node:perf_hooks';
import type {Step} from '@galenakeel/model/request/job.js';
import {positionOf, type TaskKey} from '@galenakeel/model/request/task-key.js';
import {
	FleetMessageKind, type AssignmentReference, type JobOrder, type PartEnd, type TaskRedirect,
} from '@galenakeel/model/connection/fleet-message.js';

/**
State of a task at the owner of its cell.
*/
export enum TaskState {
	/** Waits for capacity, or for the steps that its step depends on. */
	Waiting = 'waiting',
	/** An endpoint runs it, or may run it. */
	Active = 'active',
	/** A run has succeeded. */
	Succeeded = 'succeeded',
	/** Not in this part of the job: it has succeeded elsewhere, or is assigned to another owner. */
	Elsewhere = 'elsewhere',
}

type Task = {
	state: TaskState;
	/** Number of the last start in this submission of the job. */
	starts: number;
	failures: number;
	/** Endpoints at which a run ended without success. */
	avoidedEndpoints: ReadonlySet<string>;
};

/**
A step of a job with its tasks.
*/
export type PlacedStep = {
	readonly step: Step;
	readonly position: number;
	readonly tasks: readonly Task[];
	/** Tasks of this part that have not succeeded. */
	remainingTasks: number;
	/** Tasks that wait. */
	waitingTasks: number;
};

/**
A job at the owner of its cell. Times are monotonic milliseconds.
*/
export type PlacedJob = {
	readonly order: JobOrder;
	/** Address of the daemon that holds the job; a submission of the same job through another daemon changes it. */
	holder: string;
	/** The holder's assignment, which changes with the holder. */
	assignment: number;
	readonly receivedAt: number;
	/** When each run has ended that other owners may have started. */
	earlierRunsEndAt: number;
	readonly dueAt: number;
	readonly expiresAt: number;
	readonly objectiveMilliseconds: number;
	readonly steps: readonly PlacedStep[];
	/** A task has been started in this submission. */
	hasStarted: boolean;
	/** The job can no longer be refused, because some of its tasks may have started here or elsewhere. */
	isCommitted: boolean;
	/** Tasks transferred to other cells, by the cell in which they were last known. */
	redirects: readonly TaskRedirect[];
};

const attemptsPerGeneration = 1000;
const noEndpoints: ReadonlySet<string> = new Set();

const createTasks = (position: number, step: Step, excluded: ReadonlySet<string>): Task[] =>
	Array.from({length: step.tasks}, (_, index) => ({
		state: excluded.has(positionOf({step: position, index})) ? TaskState.Elsewhere : TaskState.Waiting,
		starts: 0,
		failures: 0,
		avoidedEndpoints: noEndpoints,
	}));

/**
Creates the state of an arriving job.
*/
export const createPlacedJob = (order: JobOrder, holder: string): PlacedJob => {
	const now = performance.now();
	const excluded = new Set(order.excluded);
	return {
		order,
		holder,
		assignment: order.assignment,
		receivedAt: now,
		earlierRunsEndAt: now + (order.earlierRunsMilliseconds ?? 0),
		dueAt: now + order.dueInMilliseconds,
		expiresAt: now + order.worthlessInMilliseconds,
		objectiveMilliseconds: order.objectiveMilliseconds,
		steps: order.job.steps.map((step, position) => {
			const tasks = createTasks(position, step, excluded);
			const remainingTasks = tasks.filter(({state}) => state !== TaskState.Elsewhere).length;
			return {
				step, position, tasks, remainingTasks, waitingTasks: remainingTasks,
			};
		}),
		hasStarted: false,
		isCommitted: order.isCommitted || order.generation > 0,
		redirects: [],
	};
};

/**
Returns whether all steps that a step depends on have succeeded.
*/
export const isStepReady = (job: PlacedJob, {step}: PlacedStep): boolean => step.after.every(before => job.steps[before]!.remainingTasks === 0);

/**
Returns whether all tasks have succeeded.
*/
export const isComplete = (job: PlacedJob): boolean => job.steps.every(({remainingTasks}) => remainingTasks === 0);

/**
Returns whether a task of the job waits.
*/
export const hasWaitingTasks = ({steps}: PlacedJob): boolean => steps.some(({waitingTasks}) => waitingTasks > 0);

/**
Returns the indexes of the waiting tasks of a step.
*/
export const waitingIndexes = ({tasks}: PlacedStep): readonly number[] =>
	tasks.flatMap(({state}, index) => state === TaskState.Waiting ? [index] : []);

/**
Returns the critical path over the steps with remaining tasks, by their estimates, in milliseconds.
*/
export const remainingCriticalPath = ({steps}: PlacedJob): number => {
	const ends: number[] = [];
	let longest = 0;
	for (const {step, remainingTasks} of steps) {
		let end = 0;
		for (const before of step.after) {
			end = Math.max(end, ends[before]!);
		}

		end += remainingTasks > 0 ? step.estimateMilliseconds : 0;
		ends.push(end);
		longest = Math.max(longest, end);
	}

	return longest;
};

/**
Returns the critical path of a job by its estimates, in milliseconds.
*/
export const criticalPathOf = (steps: readonly Step[]): number => {
	const ends: number[] = [];
	for (const {after, estimateMilliseconds} of steps) {
		ends.push(Math.max(0, ...after.map(before => ends[before]!)) + estimateMilliseconds);
	}

	return Math.max(0, ...ends);
};

/** Changes the state of a task and the count of the tasks that wait. */
const setState = (placed: PlacedStep, task: Task, state: TaskState): void => {
	placed.waitingTasks += Number(state === TaskState.Waiting) - Number(task.state === TaskState.Waiting);
	task.state = state;
};

/**
Marks a task as started and returns the number of the attempt. The number increases with each generation of the job.
*/
export const beginAttempt = (job: PlacedJob, {step, index}: Pick<TaskKey, 'step' | 'index'>): number => {
	const placed = job.steps[step]!;
	const task = placed.tasks[index]!;
	setState(placed, task, TaskState.Active);
	task.starts++;
	job.hasStarted = true;
	job.isCommitted = true;
	return (job.order.generation * attemptsPerGeneration) + task.starts;
};

/**
Numbers the further attempts of a task as those of a later generation, since an endpoint has ended a run that an earlier assignment numbered higher.
*/
export const skipAttempts = (job: PlacedJob, {step, index}: Pick<TaskKey, 'step' | 'index'>): void => {
	const task = job.steps[step]!.tasks[index]!;
	task.starts = (Math.floor(task.starts / attemptsPerGeneration) + 1) * attemptsPerGeneration;
};

/**
Marks a task as succeeded; returns false if it was not active.
*/
export const markSucceeded = (job: PlacedJob, {step, index}: Pick<TaskKey, 'step' | 'index'>): boolean => {
	const placed = job.steps[step]!;
	const task = placed.tasks[index]!;
	if (task.state !== TaskState.Active) {
		return false;
	}

	setState(placed, task, TaskState.Succeeded);
	placed.remainingTasks--;
	return true;
};

/**
Marks a task as waiting again after a run that ended without success.

@param endpoint Endpoint to avoid in later attempts.
@param isFailure Whether the run counts against the attempts of the queue.
@returns Failed runs of the task so far.
*/
export const markWaiting = (job: PlacedJob, {step, index}: Pick<TaskKey, 'step' | 'index'>, endpoint: string | undefined, isFailure: boolean): number => {
	const placed = job.steps[step]!;
	const task = placed.tasks[index]!;
	if (task.state !== TaskState.Active) {
		return task.failures;
	}

	setState(placed, task, TaskState.Waiting);
	task.failures += isFailure ? 1 : 0;
	if (endpoint !== undefined) {
		task.avoidedEndpoints = new Set([...task.avoidedEndpoints, endpoint]);
	}

	return task.failures;
};

/** Maximum number of transfers of a part, so that it does not circulate between cells. */
const maximumMoves = 4;

/**
Returns whether the tasks of a step need only processor; other cells announce no labels, racks or accelerators.
*/
const isPlainStep = ({after, requiredLabel, preferredRack, room}: Step): boolean =>
	after.length === 0 && requiredLabel === undefined && preferredRack === undefined && room.accelerators === 0;

/**
Returns whether tasks of a job may be transferred to another cell. Dependent steps need one owner that tracks all of them.
*/
export const isMovable = ({order}: PlacedJob): boolean =>
	order.moves < maximumMoves && order.generation === 0 && order.job.steps.every(step => isPlainStep(step));

/**
Returns the indexes of the tasks of a step that were never started here.
*/
export const neverStartedIndexes = ({tasks}: PlacedStep): readonly number[] =>
	tasks.flatMap(({state, starts}, index) => state === TaskState.Waiting && starts === 0 ? [index] : []);

/**
Transfers waiting tasks to another cell.
*/
export const moveTasks = (job: PlacedJob, tasks: ReadonlyArray<Pick<TaskKey, 'step' | 'index'>>, cell: string): TaskRedirect => {
	for (const {step, index} of tasks) {
		const placed = job.steps[step]!;
		setState(placed, placed.tasks[index]!, TaskState.Elsewhere);
		placed.remainingTasks--;
	}

	const redirect = {positions: tasks.map(task => positionOf(task)), cell};
	job.redirects = [...job.redirects, redirect];
	// Tasks of the job may start there.
	job.isCommitted = true;
	return redirect;
};

/**
Returns how messages to the holder name a job.
*/
export const referenceOf = ({order, assignment}: PlacedJob): AssignmentReference => ({job: order.job.identifier, part: order.part, assignment});

/**
Returns the message that reports the end of a job.
*/
export const createEnd = (job: PlacedJob, isComplete: boolean): PartEnd => ({
	kind: FleetMessageKind.End, ...referenceOf(job), isComplete, redirects: job.redirects,
});

/**
Returns the positions of the tasks that have succeeded here.
*/
export const succeededPositions = ({steps}: PlacedJob): readonly string[] =>
	steps.flatMap(({tasks, position}) => tasks.flatMap(({state}, index) => state === TaskState.Succeeded ? [positionOf({step: position, index})] : []));

/**
Returns whether a task belongs to this part of its job.
*/
export const isOfPart = ({steps}: PlacedJob, {step, index}: Pick<TaskKey, 'step' | 'index'>): boolean =>
	(steps[step]?.tasks[index]?.state ?? TaskState.Elsewhere) !== TaskState.Elsewhere;

/**
Returns whether a task that an order names waits or runs as part of a job.
*/
export const hasOpenTasksOf = ({order: {job}, steps}: PlacedJob, order: JobOrder): boolean => {
	if (job.identifier !== order.job.identifier) {
		return false;
	}

	const excluded = new Set(order.excluded);
	return steps.some(({position, tasks}) => tasks.some(({state}, index) =>
		(state === TaskState.Waiting || state === TaskState.Active) && !excluded.has(positionOf({step: position, index}))));
};

/**
Returns the key of a part, unique among all jobs.
*/
export const partKeyOf = (job: string, part: string): string => `${job}/${part}`;
