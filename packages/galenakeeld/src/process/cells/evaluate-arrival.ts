import type {FreeCapacity} from '@galenakeel/model/connection/fleet-message.js';
import {
	admitJob, type AdmissionDecision, type CellCapacity, type ValuedJob,
} from './admit-job.js';
import {
	compareUrgency, isInTime, urgencyOf, type Urgency,
} from './job-urgency.js';
import type {EndpointCapacity, WaitingStep} from './place-tasks.js';
import {
	hasWaitingTasks, isMovable, isStepReady, partKeyOf, remainingCriticalPath, neverStartedIndexes, waitingIndexes, type PlacedJob, type PlacedStep,
} from './placed-job.js';
import type {SimulatedSlot} from './predict-ends.js';

/** Usable share of the processor of endpoints; the rest is lost to fragmentation by tasks of different sizes. */
const fillableShare = 0.85;
/** Tolerated lateness as a share of the objective, since estimates are inaccurate. */
const lateToleranceShare = 0.2;
/** Value of the work of the highest-priority queues relative to that of others. */
const urgentWeight = 1.5;

/**
Returns the smallest factor of run time over estimate among endpoints; 1 without endpoints.
*/
export const bestFactorOf = (capacities: readonly EndpointCapacity[]): number => capacities.length > 0 ? Math.min(...capacities.map(({factor}) => factor)) : 1;

const urgencyOfJob = (job: PlacedJob, bestFactor: number, now: number): Urgency => urgencyOf({
	dueAt: job.dueAt,
	toleranceMilliseconds: lateToleranceShare * job.objectiveMilliseconds,
	remainingMilliseconds: remainingCriticalPath(job) * bestFactor,
	hasStarted: job.hasStarted,
	priority: job.order.priority,
}, now);

/**
Returns the waiting work of a job, in thousandths of a core times milliseconds of estimates.
*/
export const waitingWorkOf = (job: PlacedJob): number => {
	let work = 0;
	for (const placed of job.steps) {
		work += placed.waitingTasks * placed.step.room.processor * placed.step.estimateMilliseconds;
	}

	return work;
};

/**
Returns the waiting work of jobs that can still be in time, in thousandths of a core times milliseconds of estimates. Late jobs are left out, as they go last.
*/
export const waitingInTimeWorkOf = (jobs: readonly PlacedJob[], bestFactor: number, now: number): number => {
	let work = 0;
	for (const job of jobs) {
		work += hasWaitingTasks(job) && isInTime(urgencyOfJob(job, bestFactor, now)) ? waitingWorkOf(job) : 0;
	}

	return work;
};

/**
Returns the work that endpoints complete in a millisecond, in thousandths of a core times milliseconds of estimates; at least 1.
*/
export const throughputOf = (capacities: readonly EndpointCapacity[]): number => {
	let processor = 0;
	for (const {total, factor} of capacities) {
		processor += total.processor / factor;
	}

	return Math.max(1, processor * fillableShare);
};

/** Width of a class of run-time factors. */
const factorStep = 0.2;

/** Number of tasks of a given size that an endpoint takes now. */
const tasksFittingOn = ({free, maximumTasks}: EndpointCapacity, processorOfTask: number): number =>
	Math.min(maximumTasks, Math.floor(Math.max(0, free.processor) / Math.max(1, processorOfTask)));

/**
Returns the free capacity usable by tasks of a given size, by service and run-time factor of the endpoints.
*/
export const freeCapacitiesOf = (capacities: readonly EndpointCapacity[], processorOfTask: number): readonly FreeCapacity[] => {
	const size = Math.max(1, processorOfTask);
	const classes = new Map<string, FreeCapacity>();
	for (const capacity of capacities) {
		const tasks = tasksFittingOn(capacity, size);
		if (tasks > 0) {
			const {service} = capacity;
			const factor = Number((Math.max(1, Math.round(capacity.factor / factorStep)) * factorStep).toFixed(1));
			const key = `${service} ${factor}`;
			const before = classes.get(key)?.processor ?? 0;
			classes.set(key, {service, factor, processor: Math.round(before + (tasks * size))});
		}
	}

	return [...classes.values()];
};

const firstStepsOf = (job: PlacedJob): readonly PlacedStep[] => job.steps.filter(({step}) => step.after.length === 0);

/**
Returns the processor that the steps without dependencies need at once, in thousandths of a core.
*/
export const firstProcessorOf = (job: PlacedJob): number => {
	let processor = 0;
	for (const {remainingTasks, step} of firstStepsOf(job)) {
		processor += remainingTasks * step.room.processor;
	}

	return processor;
};

/** Processor that tasks of a given size can use at once, in thousandths of a core. */
const freeProcessorFor = (capacities: readonly EndpointCapacity[], processorOfTask: number): number => {
	let processor = 0;
	for (const capacity of capacities) {
		processor += tasksFittingOn(capacity, processorOfTask) * Math.max(1, processorOfTask);
	}

	return processor;
};

const countTasks = (steps: readonly PlacedStep[]): number => {
	let tasks = 0;
	for (const {remainingTasks} of steps) {
		tasks += remainingTasks;
	}

	return tasks;
};

/** A number of idle slots of one speed. */
type IdleSlots = {readonly count: number; readonly factor: number};

/** Takes the fastest of idle slots that are free at the same time. Tasks never use more slots than their number. */
const takeFastest = (idle: readonly IdleSlots[], tasks: number, freeInMilliseconds: number): readonly SimulatedSlot[] => {
	const slots: SimulatedSlot[] = [];
	for (const {count, factor} of idle.toSorted((first, second) => first.factor - second.factor)) {
		for (let taken = 0; taken < count; taken++) {
			if (slots.length >= tasks) {
				return slots;
			}

			slots.push({freeInMilliseconds, factor});
		}
	}

	return slots;
};

/** Slots of the own cell for tasks of the given size: all that are busy, and as many idle ones as there are tasks. */
const slotsOf = (capacities: readonly EndpointCapacity[], processorOfTask: number, tasks: number): readonly SimulatedSlot[] => {
	const busySlots: SimulatedSlot[] = [];
	const idle: IdleSlots[] = [];
	for (const {total, factor, remainingTimes} of capacities) {
		const count = Math.max(1, Math.floor(total.processor / Math.max(1, processorOfTask)));
		const busy = remainingTimes();
		for (const freeInMilliseconds of busy.slice(0, count)) {
			busySlots.push({freeInMilliseconds, factor});
		}

		idle.push({count: Math.max(0, count - busy.length), factor});
	}

	return [...busySlots, ...takeFastest(idle, tasks, 0)];
};

/** Delay of the start of a task in another cell with free capacity, in milliseconds. */
const moveMilliseconds = 8;

/** Slots of other cells for tasks of the given size, as many as there are tasks. */
const remoteSlotsOf = (others: readonly CellCapacity[], processorOfTask: number, tasks: number): readonly SimulatedSlot[] => {
	const idle = others.flatMap(({free}) => free.map(({factor, processor}) => ({count: Math.floor(processor / Math.max(1, processorOfTask)), factor})));
	return takeFastest(idle, tasks, moveMilliseconds);
};

const valueOfJob = ({order}: PlacedJob): number => {
	let work = 0;
	for (const step of order.job.steps) {
		work += step.tasks * step.room.processor * step.estimateMilliseconds;
	}

	return (order.priority === 0 ? urgentWeight : 1) * work;
};

const toValuedJob = (job: PlacedJob, {rank}: Urgency, now: number): ValuedJob => ({
	identifier: partKeyOf(job.order.job.identifier, job.order.part),
	steps: job.steps.map(placed => ({tasks: placed.waitingTasks, estimateMilliseconds: placed.step.estimateMilliseconds})),
	dueIn: job.dueAt - now,
	expiresIn: job.expiresAt - now,
	objectiveMilliseconds: job.objectiveMilliseconds,
	value: valueOfJob(job),
	rank,
});

const countWaitingTasks = (job: PlacedJob): number => {
	let tasks = 0;
	for (const {waitingTasks} of job.steps) {
		tasks += waitingTasks;
	}

	return tasks;
};

type RankedJob = {readonly job: PlacedJob; readonly urgency: Urgency};

const byUrgency = (first: RankedJob, second: RankedJob): number => compareUrgency(first.urgency, second.urgency);

/** The jobs with waiting tasks, in no order. */
const waitingJobsOf = (jobs: readonly PlacedJob[], bestFactor: number, now: number): readonly RankedJob[] => jobs
	.filter(job => hasWaitingTasks(job))
	.map(job => ({job, urgency: urgencyOfJob(job, bestFactor, now)}));

/**
Decides about a job that arrives at a cell, by the waiting jobs and the available capacity.

@param now Monotonic milliseconds.
*/
export const evaluateArrival = (job: PlacedJob, jobs: readonly PlacedJob[], {capacities: allCapacities, others: allOthers, now}: {
	readonly capacities: readonly EndpointCapacity[];
	readonly others: readonly CellCapacity[];
	readonly now: number;
}): AdmissionDecision => {
	const {service} = job.order;
	const capacities = allCapacities.filter(capacity => capacity.service === service);
	const others = allOthers.map(other => ({...other, free: other.free.filter(capacity => capacity.service === service)}));
	const bestFactor = bestFactorOf(capacities);
	const waiting = waitingJobsOf(jobs.filter(one => one.order.service === service), bestFactor, now)
		.filter(({urgency}) => isInTime(urgency))
		.toSorted(byUrgency);
	const processor = firstProcessorOf(job);
	const processorOfTask = processor / Math.max(1, countTasks(firstStepsOf(job)));
	const tasks = countWaitingTasks(job) + waiting.reduce((sum, one) => sum + countWaitingTasks(one.job), 0);
	return admitJob({
		...toValuedJob(job, urgencyOfJob(job, bestFactor, now), now),
		processor,
		freeProcessor: freeProcessorFor(capacities, processorOfTask),
		isRedirected: job.order.moves > 0 || job.order.generation > 0,
	}, waiting.map(one => toValuedJob(one.job, one.urgency, now)), [...slotsOf(capacities, processorOfTask, tasks), ...remoteSlotsOf(others, processorOfTask, tasks)], others);
};

/**
Returns the jobs with a waiting task that fits on an endpoint.
*/
export const fittingJobsOf = (jobs: readonly PlacedJob[], capacities: readonly EndpointCapacity[]): readonly PlacedJob[] => {
	let largestProcessor = 0;
	for (const {free} of capacities) {
		largestProcessor = Math.max(largestProcessor, free.processor);
	}

	return jobs.filter(job => job.steps.some(({waitingTasks, step}) => waitingTasks > 0 && step.room.processor <= largestProcessor));
};

/**
Returns the steps with waiting tasks that may start, in scheduling order.

@param now Monotonic milliseconds.
*/
export const waitingStepsOf = (jobs: readonly PlacedJob[], bestFactor: number, now: number): readonly WaitingStep[] =>
	waitingJobsOf(jobs, bestFactor, now).toSorted(byUrgency).flatMap(({job, urgency}) => job.steps.filter(placed => placed.waitingTasks > 0 && isStepReady(job, placed)).map(placed => ({
		part: partKeyOf(job.order.job.identifier, job.order.part),
		job: job.order.job.identifier,
		service: job.order.service,
		position: placed.position,
		step: placed.step,
		get indexes() {
			return waitingIndexes(placed);
		},
		dueAt: job.dueAt,
		isInTime: isInTime(urgency),
		avoidedEndpoints: (index: number) => placed.tasks[index]!.avoidedEndpoints,
	})));

/**
Returns the steps with waiting tasks that may be transferred to another cell, in scheduling order.

@param now Monotonic milliseconds.
*/
export const movableStepsOf = (jobs: readonly PlacedJob[], bestFactor: number, now: number): readonly WaitingStep[] => {
	const movable = new Map(jobs.filter(job => hasWaitingTasks(job) && isMovable(job)).map(job => [partKeyOf(job.order.job.identifier, job.order.part), job]));
	return waitingStepsOf([...movable.values()], bestFactor, now)
		.map((waiting): WaitingStep => ({...waiting, indexes: neverStartedIndexes(movable.get(waiting.part)!.steps[waiting.position]!)}))
		.filter(({indexes}) => indexes.length > 0);
};
