import type {Resources, Step} from '@galenakeel/model/request/job.js';
import {isFitting, subtractResources} from './room.js';

/**
An endpoint that accepts tasks now, with its capacity.
*/
export type EndpointCapacity = {
	/** Incarnation of the endpoint. */
	readonly endpoint: string;
	readonly service: string;
	readonly free: Resources;
	readonly total: Resources;
	readonly labels: readonly string[];
	/** Expected run time over estimate. */
	readonly factor: number;
	/** Maximum number of additional tasks, independent of their size. */
	readonly maximumTasks: number;
	/** Expected milliseconds until each active run ends, in ascending order. */
	readonly remainingTimes: () => readonly number[];
	/** Active tasks of a step of a job at the endpoint. */
	readonly countOf: (job: string, step: number) => number;
};

/**
A step with waiting tasks.
*/
export type WaitingStep = {
	/** Key of the part of the job that the tasks belong to. */
	readonly part: string;
	readonly job: string;
	readonly service: string;
	readonly position: number;
	readonly step: Step;
	/** Indexes of the waiting tasks. */
	readonly indexes: readonly number[];
	/** Time of the job's objective, in monotonic milliseconds. */
	readonly dueAt: number;
	/** The job can still meet its objective. */
	readonly isInTime: boolean;
	/** Endpoints at which a task has failed or got no answer. */
	readonly avoidedEndpoints: (index: number) => ReadonlySet<string>;
};

/**
A task and the endpoint selected to run it.
*/
export type Placement = {
	/** Key of the part of the job that the task belongs to. */
	readonly part: string;
	readonly position: number;
	readonly index: number;
	readonly endpoint: string;
};

type Candidate = {free: Resources; assignedTasks: number; readonly capacity: EndpointCapacity; readonly assignedByStep: Map<string, number>};

/** Ratio of the time until the due time to the expected run time from which an endpoint counts as fast enough. */
const safetyFactor = 1.25;
/** Share of free processor below which fast endpoints are reserved for tasks that need them. */
const scarceShare = 0.4;
/** Minimum free processor of a candidate, in thousandths of a core. */
const minimumProcessor = 1;

const factorFor = (step: Step, {factor, labels}: EndpointCapacity, remotePenalty: number): number =>
	step.preferredRack !== undefined && !labels.includes(step.preferredRack) ? factor * remotePenalty : factor;

const isAllowed = (waiting: WaitingStep, {capacity, assignedByStep}: Candidate): boolean => {
	const {step, job, position} = waiting;
	if (capacity.service !== waiting.service) {
		return false;
	}

	if (step.requiredLabel !== undefined && !capacity.labels.includes(step.requiredLabel)) {
		return false;
	}

	const key = `${job}.${position}`;
	return step.mostOnOneEndpoint === undefined || capacity.countOf(job, position) + (assignedByStep.get(key) ?? 0) < step.mostOnOneEndpoint;
};

const isAvailable = ({free, assignedTasks, capacity}: Candidate): boolean => free.processor >= minimumProcessor && assignedTasks < capacity.maximumTasks;

type Choice = {readonly candidate: Candidate; readonly milliseconds: number};

/** Width of a run-time class as a factor; within a class, best fit decides. */
const speedClassFactor = 1.05;

const speedClassOf = ({milliseconds}: Choice): number => Math.round(Math.log(milliseconds) / Math.log(speedClassFactor));

/** Best fit: prefers the endpoint with the least free processor, which keeps capacity for large tasks elsewhere. */
const bestFitFirst = (first: Choice, second: Choice): number => first.candidate.free.processor - second.candidate.free.processor;

const fastestFirst = (first: Choice, second: Choice): number =>
	speedClassOf(first) - speedClassOf(second) || bestFitFirst(first, second);

const slowestFirst = (first: Choice, second: Choice): number =>
	speedClassOf(second) - speedClassOf(first) || bestFitFirst(first, second);

/**
Chooses an endpoint for a task that can still be in time. While capacity is scarce, this is the slowest endpoint that meets the due time with a safety margin, so that faster ones stay free for longer tasks; otherwise the fastest. Returns undefined if the task would be late on the fastest.
*/
const chooseInTime = (choices: readonly Choice[], timeUntilDue: number, isScarce: boolean): Choice | undefined => {
	const safe = choices.filter(({milliseconds}) => milliseconds * safetyFactor <= timeUntilDue);
	if (isScarce && safe.length > 0) {
		return safe.toSorted(slowestFirst)[0];
	}

	const fastest = choices.toSorted(fastestFirst)[0];
	return fastest && fastest.milliseconds <= timeUntilDue ? fastest : undefined;
};

const fastestFactorOf = (capacities: readonly EndpointCapacity[]): number => Math.min(...capacities.map(({factor}) => factor));

/**
Places waiting tasks on endpoints with free capacity.

Handles tasks of different sizes and lengths on endpoints of different speeds. A task that fits nowhere does not block those behind it. A late task gets the slowest available endpoint.

@param waiting Steps in scheduling order.
@param now Monotonic milliseconds.

@example
```
const placements = placeTasks(waiting, capacities, {now: performance.now(), remotePenalty: 3});
```
*/
export const placeTasks = (waiting: readonly WaitingStep[], capacities: readonly EndpointCapacity[], {now, remotePenalty}: {
	readonly now: number;
	readonly remotePenalty: number;
}): readonly Placement[] => {
	let candidates = capacities.map((capacity): Candidate => ({
		capacity, free: capacity.free, assignedTasks: 0, assignedByStep: new Map(),
	})).filter(candidate => isAvailable(candidate));
	const totalProcessor = capacities.reduce((sum, {total}) => sum + total.processor, 0);
	let freeProcessor = capacities.reduce((sum, {free}) => sum + free.processor, 0);
	const bestFactor = fastestFactorOf(capacities);
	const placements: Placement[] = [];

	const choose = (step: WaitingStep, index: number): Candidate | undefined => {
		const avoided = step.avoidedEndpoints(index);
		const fitting = candidates.filter(candidate => isFitting(step.step.room, candidate.free) && isAllowed(step, candidate));
		const preferred = fitting.filter(({capacity}) => !avoided.has(capacity.endpoint));
		// A task that has failed at every endpoint is retried at any of them.
		const usable = preferred.length > 0 || avoided.size < capacities.length ? preferred : fitting;
		const choices = usable.map(candidate => ({candidate, milliseconds: Math.max(1, step.step.estimateMilliseconds) * factorFor(step.step, candidate.capacity, remotePenalty)}));
		// A job within the tolerance may be past its latest start: allow at least the run time on the fastest endpoint.
		const timeUntilDue = Math.max(step.dueAt - now, step.step.estimateMilliseconds * bestFactor * safetyFactor);
		const canBeInTime = step.isInTime;
		const choice = canBeInTime
			? chooseInTime(choices, timeUntilDue, freeProcessor < scarceShare * totalProcessor)
			: choices.toSorted(slowestFirst)[0];
		return choice?.candidate;
	};

	const assign = (candidate: Candidate, {part, job, position, step}: WaitingStep, index: number): void => {
		const key = `${job}.${position}`;
		candidate.free = subtractResources(candidate.free, step.room);
		candidate.assignedTasks++;
		candidate.assignedByStep.set(key, (candidate.assignedByStep.get(key) ?? 0) + 1);
		freeProcessor -= step.room.processor;
		placements.push({
			part, position, index, endpoint: candidate.capacity.endpoint,
		});
		candidates = candidates.filter(one => isAvailable(one));
	};

	for (const step of waiting) {
		for (const index of step.indexes) {
			if (candidates.length === 0) {
				return placements;
			}

			const candidate = choose(step, index);
			if (candidate) {
				assign(candidate, step, index);
			}
		}
	}

	return placements;
};
