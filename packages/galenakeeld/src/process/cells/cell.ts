import {performance} from 'node:perf_hooks';
import type {EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import {
	FleetMessageKind, type AssignmentReference, type CellLoad, type JobUpdate, type JobOrder, type TaskRedirect,
} from '@galenakeel/model/connection/fleet-message.js';
import {RefusalReason} from '@galenakeel/model/request/job.js';
import {positionOf, type TaskKey} from '@galenakeel/model/request/task-key.js';
import {incarnationOf, type EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {Admission, type CellCapacity} from './admit-job.js';
import {createCellEndpoint, type CellEndpoint} from './cell-endpoint.js';
import {createCellEndpoints, lapsedEntryMilliseconds} from './cell-endpoints.js';
import type {EndpointDecision} from './endpoint-decision.js';
import {RunResult} from './endpoint-run.js';
import {createCellCapacityCache} from './cell-capacity-cache.js';
import {createClosedAssignments} from './closed-assignments.js';
import {maximumLeaseOf, minimumLeaseMilliseconds, yieldMilliseconds} from './maximum-lease.js';
import {placeTasks, type Placement} from './place-tasks.js';
import {
	beginAttempt, createEnd, createPlacedJob, hasTasksBesides, hasWaitingTasks, isComplete, isMovable, isOfPart, markSucceeded, markWaiting, moveTasks, partKeyOf, referenceOf, remainingCriticalPath, skipAttempts, succeededPositions, waitingIndexes, type PlacedJob,
} from './placed-job.js';
import {
	countContent, describeRuns, type ActiveRunDescription, type CellObservation,
} from './cell-observation.js';
import {isFitting} from './room.js';
import {hasSamePositions} from './same-positions.js';
import {shareTasks, type TaskShare} from './share-tasks.js';
import {
	bestFactorOf, fittingJobsOf, movableStepsOf, waitingStepsOf, evaluateArrival,
} from './evaluate-arrival.js';
import {CellWork, createWorkTimes} from './work-times.js';

/**
Decisions of a cell that are logged.
*/
export enum CellDecision {
	JobAccepted = 'job-taken',
	/** Tasks were redirected to another cell. */
	JobRedirected = 'job-redirected',
	JobRefused = 'job-refused',
	JobEnded = 'job-ended',
	JobCancelled = 'job-withdrawn',
	TaskStarted = 'task-started',
	/** A task was started that had been started before, here or, as the generation of the job tells, perhaps by an earlier owner. */
	TaskRestarted = 'task-started-again',
	TaskEnded = 'task-ended',
	TaskAdopted = 'task-adopted',
	/** An assignment that is or was here was submitted once more. */
	SubmissionRepeated = 'submission-repeated',
	/** A part was assigned anew, or the same job was submitted again, while an earlier assignment of it was here. */
	AssignmentReplaced = 'assignment-replaced',
}

const routineDecisions: ReadonlySet<unknown> = new Set([CellDecision.JobAccepted, CellDecision.TaskStarted, CellDecision.JobEnded]);

/**
Tells whether a decision is one of the usual course of a job.
*/
export const isRoutine = (decision: CellDecision | EndpointDecision): boolean => routineDecisions.has(decision);

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
	/** Monotonic milliseconds since when this daemon has known endpoints of the cell; undefined before the first list. */
	readonly listedSince: () => number | undefined;
	readonly remotePenalty: number;
	/** What other owners have learned of kinds of endpoints. */
	readonly kindFactors: () => Readonly<Record<string, number>>;
	readonly createCalls: (entry: EndpointEntry) => EndpointCalls;
	readonly notify: (holder: string, update: JobUpdate) => void;
	/** Monotonic milliseconds at which a holder was last heard. */
	readonly lastHeardFrom: (holder: string) => number;
	/** Other cells as their owners last described them. */
	readonly otherCells: () => readonly CellCapacity[];
	/** Called when tasks were redirected to another cell, with the processor that they need there. */
	readonly onRedirected: (cell: string, processor: number) => void;
	/** Called when an endpoint has accepted a higher token. */
	readonly onFenced: () => void;
	readonly onDecision: (decision: CellDecision | EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
	readonly onTaskWait: (milliseconds: number) => void;
};

/** Time for holders to submit jobs of an earlier owner again before its runs are stopped. */
const settleMilliseconds = 350;
/** How long a closed assignment is kept, in case its holder submits it again. */
const keepClosedMilliseconds = 30_000;
const minimumRetryMilliseconds = 1000;
const maximumRetryMilliseconds = 8000;
const sweepMilliseconds = 50;
/** Number of waiting jobs from which no prediction is made for an arriving job. */
const maximumWaitingJobs = 1000;
/** Weight of a new step in the moving average of the processor of a task. */
const typicalProcessorGain = 0.05;

/** Whether two orders are for the same tasks, and no owner was lost between them. */
const isSameWork = (first: JobOrder, second: JobOrder): boolean =>
	first.generation === second.generation && hasSamePositions(first.excluded, second.excluded);

const createDropped = (job: PlacedJob, hasStarted: boolean): JobUpdate => ({
	kind: FleetMessageKind.Dropped, ...referenceOf(job), hasStarted, succeeded: succeededPositions(job), redirects: [...job.redirects],
});

const processorOf = (job: PlacedJob, tasks: ReadonlyArray<Pick<TaskKey, 'step'>>): number => {
	let processor = 0;
	for (const {step} of tasks) {
		processor += job.steps[step]!.step.room.processor;
	}

	return processor;
};

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
	const {notify, onDecision} = options;
	const workTimes = createWorkTimes();
	let ownedSince = performance.now();
	let lastToken = options.token();
	const jobs = new Map<string, PlacedJob>();
	const closedAssignments = createClosedAssignments(keepClosedMilliseconds);
	/** Processor of a typical task, in thousandths of a core. */
	let typicalProcessor = 1;
	let isDispatching = false;
	/** Monotonic milliseconds. */
	let nextPlacementAt = 0;
	let isClosed = false;

	/** Restarts the ownership period when the token was raised, since earlier observations are no longer reliable. */
	const checkToken = (): void => {
		if (options.token() !== lastToken) {
			lastToken = options.token();
			ownedSince = performance.now();
			for (const endpoint of endpoints.all()) {
				void endpoint.pollNow();
			}
		}
	};

	const isSettled = (): boolean => performance.now() - ownedSince > settleMilliseconds;

	const endpoints = createCellEndpoints({
		kindFactors: options.kindFactors(),
		createEndpoint: (entry, onRunTime) => createCellEndpoint(entry, {
			calls: options.createCalls(entry),
			holdMaximumMilliseconds: options.holdMaximumMilliseconds,
			token: options.token,
			ownedSince: () => ownedSince,
			isSettled,
			onChange: dispatch,
			onFenced: options.onFenced,
			onOrphans: adoptAll,
			onDecision,
			onRunTime,
		}),
	});

	const capacity = createCellCapacityCache({endpoints, jobs: () => [...jobs.values()], typicalProcessor: () => typicalProcessor});

	const keyOf = ({order}: PlacedJob): string => partKeyOf(order.job.identifier, order.part);

	const describePart = ({order, holder, assignment}: PlacedJob): Readonly<Record<string, unknown>> => ({
		job: order.job.identifier, part: order.part, assignment, generation: order.generation, holder,
	});

	/** Removes a job from the cell and keeps what its holder has to know of it. */
	const close = (job: PlacedJob, updates: readonly JobUpdate[]): void => {
		const {holder, assignment, order} = job;
		jobs.delete(keyOf(job));
		closedAssignments.add({
			holder, assignment, part: keyOf(job), excluded: order.excluded, updates,
		});
	};

	/** Removes a job from the cell with the update that reports its end. */
	const finish = (job: PlacedJob, update: JobUpdate): void => {
		close(job, [update]);
		notify(job.holder, update);
	};

	const createRedirect = (job: PlacedJob, redirect: TaskRedirect): JobUpdate => ({kind: FleetMessageKind.Redirect, ...referenceOf(job), ...redirect});

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

	/** Runs of a job end with the lease after its holder was last heard, before its caller submits the job to another daemon. */
	const leaseLimitOf = ({holder, receivedAt}: PlacedJob): number => Math.max(receivedAt, options.lastHeardFrom(holder)) + options.holdMaximumMilliseconds;

	const stopRunsOf = (job: PlacedJob): void => {
		endpoints.stopRuns(task => task.job === job.order.job.identifier && isOfPart(job, task));
	};

	const end = (job: PlacedJob, isComplete: boolean): void => {
		onDecision(CellDecision.JobEnded, {
			...describePart(job), isComplete, ageMilliseconds: Math.round(performance.now() - job.receivedAt), dueInMilliseconds: Math.round(job.dueAt - performance.now()),
		});
		finish(job, createEnd(job, isComplete));
		stopRunsOf(job);
	};

	const onResult = (job: PlacedJob, task: TaskKey, endpoint: CellEndpoint, result: RunResult): void => {
		if (isClosed || jobs.get(keyOf(job)) !== job) {
			return;
		}

		if (result !== RunResult.Succeeded) {
			onDecision(CellDecision.TaskEnded, {
				job: task.job, task: positionOf(task), endpoint: endpoint.entry().identifier, result,
			});
		}

		if (result === RunResult.Succeeded) {
			markSucceeded(job, task);
			if (isComplete(job)) {
				end(job, true);
			} else {
				notify(job.holder, {kind: FleetMessageKind.TaskSucceeded, ...referenceOf(job), position: positionOf(task)});
			}
		} else {
			const isFailure = result === RunResult.Failed;
			const hasRun = result === RunResult.Failed || result === RunResult.Lost;
			const avoided = hasRun ? incarnationOf(endpoint.entry()) : undefined;
			if (result === RunResult.Outnumbered) {
				skipAttempts(job, task);
			}

			if (markWaiting(job, task, avoided, isFailure) >= job.order.mostAttempts) {
				end(job, false);
			}
		}

		dispatch();
	};

	const follow = async (job: PlacedJob, task: TaskKey, endpoint: CellEndpoint, result: Promise<RunResult>): Promise<void> => {
		onResult(job, task, endpoint, await result);
	};

	/** Notifies the holder before the first task of a submission starts or is adopted. */
	const announceStart = (job: PlacedJob): void => {
		if (!job.hasStarted) {
			notify(job.holder, {kind: FleetMessageKind.Started, ...referenceOf(job)});
			options.onTaskWait(performance.now() - job.receivedAt);
		}
	};

	const start = ({part, position, index, endpoint: incarnation}: Placement): void => {
		const job = jobs.get(part);
		const endpoint = endpoints.get(incarnation);
		if (!job || !endpoint) {
			return;
		}

		const {step} = job.steps[position]!;
		const {identifier} = job.order.job;
		announceStart(job);
		const task = {job: identifier, step: position, index};
		const attempt = beginAttempt(job, task);
		onDecision(attempt === 1 ? CellDecision.TaskStarted : CellDecision.TaskRestarted, {
			job: identifier, task: positionOf(task), attempt, generation: job.order.generation, token: options.token(), endpoint: endpoint.entry().identifier, factor: Number(endpoints.factorOf(endpoint).toFixed(2)),
		});
		void follow(job, task, endpoint, endpoint.start({
			task, attempt, room: step.room, estimateMilliseconds: step.estimateMilliseconds, specification: job.order.job.specification, leaseLimitAt: () => leaseLimitOf(job),
		}));
	};

	const transferTasks = (job: PlacedJob, tasks: ReadonlyArray<Pick<TaskKey, 'step' | 'index'>>, cell: string): void => {
		const redirect = moveTasks(job, tasks, cell);
		onDecision(CellDecision.JobRedirected, {
			...describePart(job), cell, tasks: tasks.length,
		});
		options.onRedirected(cell, processorOf(job, tasks));
		const update = createRedirect(job, redirect);
		notify(job.holder, update);
		if (isComplete(job)) {
			// Nothing is left here; what succeeded before is part of the end.
			close(job, [createEnd(job, true)]);
		}
	};

	/** Redirects tasks that found no capacity here to a cell that has some. */
	const transferShare = ({part, position, indexes, cell}: TaskShare): void => {
		const job = jobs.get(part);
		if (!job) {
			return;
		}

		transferTasks(job, indexes.map(index => ({step: position, index})), cell);
	};

	/** Whether each endpoint on which an earlier owner may have started tasks has been polled, or can no longer run them. A new list may lack entries that lapsed. */
	const areAllRunsKnown = (): boolean => {
		const now = performance.now();
		const isListComplete = now - (options.listedSince() ?? now) > lapsedEntryMilliseconds;
		return isListComplete ? endpoints.all().every(endpoint => endpoint.areRunsKnown()) : now - ownedSince > maximumLeaseOf(options.holdMaximumMilliseconds) + yieldMilliseconds;
	};

	/** Whether a run of the job is known that this submission has neither started nor adopted, as when its caller repeats it. */
	const hasStrayRuns = ({order}: PlacedJob, strayJobs = endpoints.strayJobs()): boolean => strayJobs.has(order.job.identifier);

	/** Whether a new owner does not know yet what runs at some endpoints. No job starts until then, since a job that its caller repeats looks like a new one. */
	const isAwaitingFirstReports = (): boolean => !isSettled() && endpoints.all().some(endpoint => endpoint.isAwaitingFirstAnswer());

	/** A job waits while one of its tasks may be running outside this submission, and while its holder is silent. */
	const isStartable = (job: PlacedJob, strayJobs: ReadonlySet<string>): boolean =>
		!hasStrayRuns(job, strayJobs) && leaseLimitOf(job) > performance.now() + minimumLeaseMilliseconds && (job.order.generation === 0 || (isSettled() && areAllRunsKnown()));

	/** The jobs with tasks that may start now. */
	const startableJobs = (): readonly PlacedJob[] => {
		const waiting = [...jobs.values()].filter(job => hasWaitingTasks(job));
		if (waiting.length === 0 || isAwaitingFirstReports()) {
			return [];
		}

		const strayJobs = endpoints.strayJobs();
		return waiting.filter(job => isStartable(job, strayJobs));
	};

	/** Starts waiting tasks on endpoints of this cell, and returns the factor of the fastest one before. */
	const placeHere = (startable: readonly PlacedJob[], now: number): number => {
		const capacities = capacity.available();
		const bestFactor = bestFactorOf(capacities);
		const placements = placeTasks(waitingStepsOf(fittingJobsOf(startable, capacities), bestFactor, now), capacities, {now, remotePenalty: options.remotePenalty});
		for (const placement of placements) {
			start(placement);
		}

		return bestFactor;
	};

	/** Redirects tasks that found no place here to cells with free capacity. */
	const shareWaiting = (startable: readonly PlacedJob[], bestFactor: number, now: number): void => {
		const movable = startable.filter(job => hasWaitingTasks(job) && isMovable(job));
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
		const startable = isClosed ? [] : startableJobs();
		if (startable.length === 0) {
			return;
		}

		const now = performance.now();
		const bestFactor = workTimes.measure(CellWork.Placing, () => placeHere(startable, now));
		workTimes.measure(CellWork.Sharing, () => {
			shareWaiting(startable, bestFactor, now);
		});
		const endedAt = performance.now();
		nextPlacementAt = endedAt + (endedAt - now);
		capacity.invalidate();
	};

	/** Schedules the placement of waiting tasks after the messages and answers that have arrived are processed, and after a pause as long as the last placement took, so that placements leave time to process what arrives. */
	function dispatch(): void {
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
	}

	const refuse = (job: PlacedJob, reason: RefusalReason, retryAfterMilliseconds: number): void => {
		onDecision(CellDecision.JobRefused, {
			...describePart(job), reason, queue: job.order.queue, heldMilliseconds: Math.round(performance.now() - job.receivedAt),
		});
		finish(job, {
			kind: FleetMessageKind.Refuse, ...referenceOf(job), reason, retryAfterMilliseconds: Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, retryAfterMilliseconds)),
		});
	};

	const isEverPossible = (order: JobOrder): boolean => {
		const entries = endpoints.all().map(endpoint => endpoint.entry());
		return entries.length === 0 || order.job.steps.every(({room, requiredLabel}) =>
			entries.some(entry => entry.service === order.service && isFitting(room, entry.room) && (requiredLabel === undefined || entry.labels.includes(requiredLabel))));
	};

	const adoptRuns = (job: PlacedJob): void => {
		for (const placed of job.steps) {
			for (const index of waitingIndexes(placed)) {
				const task = {job: job.order.job.identifier, step: placed.position, index};
				for (const endpoint of endpoints.all()) {
					const adopted = endpoint.adopt({
						task, room: placed.step.room, estimateMilliseconds: placed.step.estimateMilliseconds, leaseLimitAt: () => leaseLimitOf(job),
					});
					if (adopted) {
						announceStart(job);
						beginAttempt(job, task);
						onDecision(CellDecision.TaskAdopted, {
							job: task.job, task: positionOf(task), attempt: adopted.attempt, generation: job.order.generation, token: options.token(), endpoint: endpoint.entry().identifier,
						});
						void follow(job, task, endpoint, adopted.ended);
						break;
					}
				}
			}
		}
	};

	function adoptAll(): void {
		const strayJobs = endpoints.strayJobs();
		for (const job of jobs.values()) {
			if (job.order.generation > 0 || hasStrayRuns(job, strayJobs)) {
				adoptRuns(job);
			}
		}
	}

	const recordTaskSize = (job: PlacedJob): void => {
		for (const {room} of job.order.job.steps) {
			typicalProcessor += typicalProcessorGain * (room.processor - typicalProcessor);
		}
	};

	const accept = (job: PlacedJob, endsIn: number): void => {
		const {order} = job;
		recordTaskSize(job);
		jobs.set(keyOf(job), job);
		onDecision(CellDecision.JobAccepted, {
			...describePart(job), queue: order.queue, dueInMilliseconds: Math.round(order.dueInMilliseconds), endsInMilliseconds: Math.round(endsIn),
		});
		if (order.generation > 0 || hasStrayRuns(job)) {
			adoptRuns(job);
		}

		if (isComplete(job)) {
			end(job, true);
		}

		dispatch();
	};

	const areTooManyWaiting = (): boolean => {
		let waiting = 0;
		for (const job of jobs.values()) {
			waiting += hasWaitingTasks(job) ? 1 : 0;
		}

		return waiting >= maximumWaitingJobs;
	};

	/** Accepts only jobs that can't be refused any more. */
	const acceptCommitted = (job: PlacedJob): void => {
		if (job.isCommitted) {
			accept(job, job.order.worthlessInMilliseconds);
		} else {
			refuse(job, RefusalReason.Overloaded, maximumRetryMilliseconds);
		}
	};

	const decide = (job: PlacedJob): void => {
		const {order} = job;
		const isAwaitingFirstPolls = capacity.available().length === 0 && (!isSettled() || endpoints.all().some(endpoint => endpoint.isAwaitingFirstAnswer()));
		if (hasStrayRuns(job) || isAwaitingFirstPolls || isAwaitingFirstReports()) {
			accept(job, order.dueInMilliseconds);
			return;
		}

		if (areTooManyWaiting()) {
			acceptCommitted(job);
			return;
		}

		const decision = evaluateArrival(job, [...jobs.values()], {capacities: capacity.available(), others: options.otherCells(), now: performance.now()});
		if (decision.admission === Admission.Redirect) {
			jobs.set(keyOf(job), job);
			transferTasks(job, job.steps.flatMap(placed => waitingIndexes(placed).map(index => ({step: placed.position, index}))), decision.cell);
		} else if (decision.admission === Admission.Refuse && !job.isCommitted && isSettled()) {
			refuse(job, RefusalReason.Overloaded, decision.endsIn - order.dueInMilliseconds);
		} else {
			accept(job, decision.endsIn);
		}
	};

	const sweep = (): void => {
		checkToken();
		const now = performance.now();
		closedAssignments.sweep();
		for (const job of jobs.values()) {
			if (!job.isCommitted && now + remainingCriticalPath(job) > job.expiresAt) {
				refuse(job, RefusalReason.Overloaded, minimumRetryMilliseconds);
			}
		}

		dispatch();
	};

	/** Gives a job to the holder that submitted it last. */
	const takeOver = (job: PlacedJob, holder: string, assignment: number): void => {
		onDecision(CellDecision.AssignmentReplaced, {...describePart(job), newHolder: holder, isContinued: true});
		const superseded: JobUpdate = {kind: FleetMessageKind.Superseded, ...referenceOf(job)};
		closedAssignments.add({
			holder: job.holder, assignment: job.assignment, part: keyOf(job), excluded: job.order.excluded, updates: [superseded],
		});
		notify(job.holder, superseded);
		job.holder = holder;
		job.assignment = assignment;
		resend(job);
	};

	/** Stops what runs for an assignment that its holder has replaced by one of other tasks or a later generation. */
	const replace = (job: PlacedJob, holder: string): void => {
		onDecision(CellDecision.AssignmentReplaced, {...describePart(job), newHolder: holder, isContinued: false});
		finish(job, {kind: FleetMessageKind.Superseded, ...referenceOf(job)});
		stopRunsOf(job);
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

	/** Continues what is or was here of the same tasks: a job that its caller submits again, or a part whose holder missed its end. Returns whether there was something. */
	const continueEarlier = (holder: string, order: JobOrder): boolean => {
		const key = partKeyOf(order.job.identifier, order.part);
		const known = jobs.get(key);
		if (known && isSameWork(known.order, order)) {
			takeOver(known, holder, order.assignment);
			return true;
		}

		if (known) {
			replace(known, holder);
			return false;
		}

		const end = closedAssignments.findEnd(key, order.excluded);
		if (!end) {
			return false;
		}

		const update = {...end, assignment: order.assignment};
		closedAssignments.add({
			holder, assignment: order.assignment, part: key, excluded: order.excluded, updates: [update],
		});
		notify(holder, update);
		return true;
	};

	/** Replaces other parts of the job that share tasks with an order. One holding of a job divides it into parts that share none, so its caller has submitted it again. */
	const replaceOverlapping = (holder: string, order: JobOrder): void => {
		const excluded = new Set(order.excluded);
		for (const job of jobs.values()) {
			if (job.order.job.identifier === order.job.identifier && hasTasksBesides(job, excluded)) {
				replace(job, holder);
			}
		}
	};

	const submitNew = (holder: string, order: JobOrder): void => {
		replaceOverlapping(holder, order);
		const job = createPlacedJob(order, holder);
		if (closedAssignments.isForgotten(order.assignedMillisecondsAgo)) {
			finish(job, createDropped(job, true));
		} else if (isEverPossible(order)) {
			workTimes.measure(CellWork.Admission, () => {
				decide(job);
			});
		} else {
			refuse(job, RefusalReason.NoEndpoint, maximumRetryMilliseconds);
		}
	};

	const timer = setInterval(sweep, sweepMilliseconds);

	return {
		name: options.name,
		submit(holder, order) {
			checkToken();
			if (!repeatAnswer(holder, order) && !continueEarlier(holder, order)) {
				submitNew(holder, order);
			}
		},
		cancel(holder, reference) {
			const key = partKeyOf(reference.job, reference.part);
			const job = jobs.get(key);
			if (job?.holder === holder && job.assignment === reference.assignment) {
				onDecision(CellDecision.JobCancelled, {...describePart(job), hasStarted: job.hasStarted});
				close(job, []);
				stopRunsOf(job);
			} else if (!closedAssignments.get(holder, reference.assignment)) {
				// The order may be on its way on an earlier stream.
				closedAssignments.add({
					holder, assignment: reference.assignment, part: key, excluded: [], updates: [],
				});
			}
		},
		dropHolder(holder) {
			for (const job of jobs.values()) {
				if (job.holder === holder) {
					onDecision(CellDecision.JobCancelled, {...describePart(job), hasStarted: job.hasStarted, lostHolder: holder});
					finish(job, createDropped(job, job.hasStarted));
					stopRunsOf(job);
				}
			}
		},
		install(entries) {
			endpoints.install(entries);
			dispatch();
		},
		load: () => workTimes.measure(CellWork.Load, capacity.load),
		runs: () => describeRuns(endpoints.all()),
		observe: () => ({...countContent([...jobs.values()], endpoints.all()), work: workTimes.totals()}),
		close() {
			isClosed = true;
			clearInterval(timer);
			endpoints.close();
			jobs.clear();
		},
	};
};
