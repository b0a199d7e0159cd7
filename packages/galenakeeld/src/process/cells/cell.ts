import {performance} from 'node:perf_hooks';
import type {EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import {
	FleetMessageKind, type CellLoad, type JobUpdate, type JobOrder,
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
import {createFinishedParts} from './finished-parts.js';
import {maximumLeaseOf, minimumLeaseMilliseconds, yieldMilliseconds} from './maximum-lease.js';
import {placeTasks, type Placement} from './place-tasks.js';
import {
	beginAttempt, createPlacedJob, hasWaitingTasks, isComplete, isMovable, isOfPart, markSucceeded, markWaiting, moveTasks, partKeyOf, remainingCriticalPath, succeededPositions, waitingIndexes, type PlacedJob,
} from './placed-job.js';
import {
	countContent, describeRuns, type ActiveRunDescription, type CellObservation,
} from './cell-observation.js';
import {isFitting} from './room.js';
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
	/** A part that is or was here was submitted once more. */
	SubmissionRepeated = 'submission-repeated',
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
	/** Cancels a part of a job at the request of its holder. */
	readonly cancel: (holder: string, job: string, part: string) => void;
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
/** How long the end of a job is kept for a holder that missed the update. */
const keepEndMilliseconds = 5000;
const minimumRetryMilliseconds = 1000;
const maximumRetryMilliseconds = 8000;
const sweepMilliseconds = 50;
/** Number of waiting jobs from which no prediction is made for an arriving job. */
const maximumWaitingJobs = 1000;
/** Weight of a new step in the moving average of the processor of a task. */
const typicalProcessorGain = 0.05;

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
	const finishedParts = createFinishedParts(keepEndMilliseconds);
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

	const describePart = ({order, holder}: PlacedJob): Readonly<Record<string, unknown>> => ({
		job: order.job.identifier, part: order.part, generation: order.generation, holder,
	});

	/** Removes a part from the cell, with the update that reports its end, or without one if its last tasks were redirected. */
	const finish = (job: PlacedJob, update?: JobUpdate): void => {
		jobs.delete(keyOf(job));
		finishedParts.add(keyOf(job), {job, update});
		if (update) {
			notify(job.holder, update);
		}
	};

	/** Resends the updates that a holder may have missed. */
	const resend = (holder: string, job: PlacedJob, update: JobUpdate | undefined): void => {
		const {job: {identifier}, part} = job.order;
		for (const position of succeededPositions(job)) {
			notify(holder, {
				kind: FleetMessageKind.TaskSucceeded, job: identifier, part, position,
			});
		}

		for (const again of [...job.redirects, ...update ? [update] : []]) {
			notify(holder, again);
		}
	};

	/** Runs of a job end with the lease after its holder was last heard, before its caller submits the job to another daemon. */
	const leaseLimitOf = ({holder, receivedAt}: PlacedJob): number => Math.max(receivedAt, options.lastHeardFrom(holder)) + options.holdMaximumMilliseconds;

	const stopRunsOf = (job: PlacedJob): void => {
		endpoints.stopRuns(task => task.job === job.order.job.identifier && isOfPart(job, task));
	};

	const end = (job: PlacedJob, isComplete: boolean): void => {
		const {identifier} = job.order.job;
		onDecision(CellDecision.JobEnded, {
			...describePart(job), isComplete, ageMilliseconds: Math.round(performance.now() - job.receivedAt), dueInMilliseconds: Math.round(job.dueAt - performance.now()),
		});
		finish(job, {
			kind: FleetMessageKind.End, job: identifier, part: job.order.part, isComplete,
		});
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
				notify(job.holder, {
					kind: FleetMessageKind.TaskSucceeded, job: task.job, part: job.order.part, position: positionOf(task),
				});
			}
		} else {
			const isFailure = result === RunResult.Failed;
			const avoided = result === RunResult.Declined ? undefined : incarnationOf(endpoint.entry());
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
			notify(job.holder, {kind: FleetMessageKind.Started, job: job.order.job.identifier, part: job.order.part});
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
			job: redirect.job, part: redirect.part, newPart: redirect.newPart, cell, tasks: tasks.length,
		});
		options.onRedirected(cell, processorOf(job, tasks));
		notify(job.holder, redirect);
		if (isComplete(job)) {
			finish(job);
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
		const {identifier} = job.order.job;
		onDecision(CellDecision.JobRefused, {
			...describePart(job), reason, queue: job.order.queue, heldMilliseconds: Math.round(performance.now() - job.receivedAt),
		});
		jobs.delete(keyOf(job));
		notify(job.holder, {
			kind: FleetMessageKind.Refuse, job: identifier, part: job.order.part, reason, retryAfterMilliseconds: Math.min(maximumRetryMilliseconds, Math.max(minimumRetryMilliseconds, retryAfterMilliseconds)),
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
		finishedParts.sweep();
		for (const job of jobs.values()) {
			if (!job.isCommitted && now + remainingCriticalPath(job) > job.expiresAt) {
				refuse(job, RefusalReason.Overloaded, minimumRetryMilliseconds);
			}
		}

		dispatch();
	};

	const timer = setInterval(sweep, sweepMilliseconds);

	return {
		name: options.name,
		submit(holder, order) {
			checkToken();
			const key = partKeyOf(order.job.identifier, order.part);
			const known = jobs.get(key);
			const ended = finishedParts.get(key);
			if (known) {
				onDecision(CellDecision.SubmissionRepeated, {
					...describePart(known), newHolder: holder, newGeneration: order.generation, hasEnded: false,
				});
				known.holder = holder;
				resend(holder, known, undefined);
				return;
			}

			if (ended) {
				onDecision(CellDecision.SubmissionRepeated, {
					...describePart(ended.job), newHolder: holder, newGeneration: order.generation, hasEnded: true,
				});
				resend(holder, ended.job, ended.update);
				return;
			}

			const job = createPlacedJob(order, holder);
			if (isEverPossible(order)) {
				workTimes.measure(CellWork.Admission, () => {
					decide(job);
				});
			} else {
				refuse(job, RefusalReason.NoEndpoint, maximumRetryMilliseconds);
			}
		},
		cancel(holder, identifier, part) {
			const job = jobs.get(partKeyOf(identifier, part));
			if (job?.holder === holder) {
				onDecision(CellDecision.JobCancelled, {...describePart(job), hasStarted: job.hasStarted});
				jobs.delete(keyOf(job));
				stopRunsOf(job);
			}
		},
		dropHolder(holder) {
			for (const [key, job] of jobs) {
				if (job.holder === holder) {
					onDecision(CellDecision.JobCancelled, {
						...describePart(job), hasStarted: job.hasStarted, lostHolder: holder,
					});
					jobs.delete(key);
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
