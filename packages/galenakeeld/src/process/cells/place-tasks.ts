import type {Resources, Step} from '@galenakeel/model/request/job.js';
import {
	chooseInTime, chooseSlowest, createEndpointChoice, safetyFactor, type EndpointChoice,
} from './endpoint-choice.js';
import {isFitting, subtractResources} from './room.js';

/**
An endpoint that accepts tasks now, with its capacity.
*/
export type EndpointCapacity = {
	/** Incarnation of the endpoint. */
	readonly endpoint: string;
	/** Monotonic milliseconds up to which what runs there may go on without the owner, since a lease covers all runs and never shortens. */
	readonly leaseEndsAt: number;
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

/**
What placements depend on beside steps and endpoints.
*/
export type PlacementContext = {
	/** Monotonic milliseconds. */
	readonly now: number;
	readonly remotePenalty: number;
	/** Monotonic milliseconds after which no lease may end that covers a run of a part. */
	readonly latestLeaseEndOf: (part: string) => number;
};

type Candidate = {free: Resources; assignedTasks: number; readonly capacity: EndpointCapacity};

/** Share of free processor below which fast endpoints are reserved for tasks that need them. */
const scarceShare = 0.4;
const noEndpoints: ReadonlySet<string> = new Set();
/** Minimum free processor of a candidate, in thousandths of a core. */
const minimumProcessor = 1;

const factorFor = (step: Step, {factor, labels}: EndpointCapacity, remotePenalty: number): number =>
	step.preferredRack !== undefined && !labels.includes(step.preferredRack) ? factor * remotePenalty : factor;

const isAllowed = ({step, service}: WaitingStep, {capacity}: Candidate): boolean =>
	capacity.service === service && (step.requiredLabel === undefined || capacity.labels.includes(step.requiredLabel));

const isAvailable = ({free, assignedTasks, capacity}: Candidate): boolean => free.processor >= minimumProcessor && assignedTasks < capacity.maximumTasks;

const fastestFactorOf = (capacities: Iterable<EndpointCapacity>): number => {
	let fastest = Number.POSITIVE_INFINITY;
	for (const {factor} of capacities) {
		fastest = Math.min(fastest, factor);
	}

	return fastest;
};

/** What no candidate exceeds, so that most tasks that fit nowhere are recognized without a look at each candidate. */
type CandidateBounds = {readonly largestProcessor: number; readonly fastestFactor: number};

const boundsOf = (candidates: readonly Candidate[]): CandidateBounds => {
	let largestProcessor = 0;
	let fastestFactor = Number.POSITIVE_INFINITY;
	for (const {free, capacity} of candidates) {
		largestProcessor = Math.max(largestProcessor, free.processor);
		fastestFactor = Math.min(fastestFactor, capacity.factor);
	}

	return {largestProcessor, fastestFactor};
};

/**
Places waiting tasks on endpoints with free capacity.

Handles tasks of different sizes and lengths on endpoints of different speeds. A task that fits nowhere does not block those behind it. A late task gets the slowest available endpoint.

@param waiting Steps in scheduling order.

@example
```
const placements = placeTasks(waiting, capacities, {now: performance.now(), remotePenalty: 3, latestLeaseEndOf});
```
*/
export const placeTasks = (waiting: readonly WaitingStep[], capacities: readonly EndpointCapacity[], {now, remotePenalty, latestLeaseEndOf}: PlacementContext): readonly Placement[] => {
	let candidates = capacities.map((capacity): Candidate => ({
		capacity, free: capacity.free, assignedTasks: 0,
	})).filter(candidate => isAvailable(candidate));
	const totalProcessor = capacities.reduce((sum, {total}) => sum + total.processor, 0);
	let freeProcessor = capacities.reduce((sum, {free}) => sum + free.processor, 0);
	const bestFactor = fastestFactorOf(capacities);
	let bounds = boundsOf(candidates);
	/** Tasks assigned by endpoint and step, for the steps that limit them. */
	const assignedByStep = new Map<string, number>();
	const placements: Placement[] = [];

	const keyOf = ({job, position}: WaitingStep, {capacity}: Candidate): string => `${capacity.endpoint} ${job}.${position}`;

	const isBelowLimit = (waitingStep: WaitingStep, candidate: Candidate): boolean => {
		const {step: {mostOnOneEndpoint}, job, position} = waitingStep;
		return mostOnOneEndpoint === undefined || candidate.capacity.countOf(job, position) + (assignedByStep.get(keyOf(waitingStep, candidate)) ?? 0) < mostOnOneEndpoint;
	};

	/** A job within the tolerance may be past its latest start: allow at least the run time on the fastest endpoint. */
	const timeUntilDueOf = ({dueAt, step}: WaitingStep): number => Math.max(dueAt - now, step.estimateMilliseconds * bestFactor * safetyFactor);

	const runTimeOf = ({estimateMilliseconds}: Step, factor: number): number => Math.max(1, estimateMilliseconds) * factor;

	const isPossible = (waitingStep: WaitingStep): boolean => {
		const {step, isInTime} = waitingStep;
		return step.room.processor <= bounds.largestProcessor
			&& (!isInTime || runTimeOf(step, bounds.fastestFactor * Math.min(1, remotePenalty)) <= timeUntilDueOf(waitingStep));
	};

	const choicesFor = (waitingStep: WaitingStep, avoided: ReadonlySet<string>): ReadonlyArray<EndpointChoice<Candidate>> => {
		const {step, part} = waitingStep;
		const latestLeaseEnd = latestLeaseEndOf(part);
		const choices: Array<EndpointChoice<Candidate>> = [];
		for (const candidate of candidates) {
			const isFree = isFitting(step.room, candidate.free) && isAllowed(waitingStep, candidate) && isBelowLimit(waitingStep, candidate);
			if (isFree && candidate.capacity.leaseEndsAt <= latestLeaseEnd && !avoided.has(candidate.capacity.endpoint)) {
				choices.push(createEndpointChoice(candidate, runTimeOf(step, factorFor(step, candidate.capacity, remotePenalty)), candidate.free.processor));
			}
		}

		return choices;
	};

	const choose = (waitingStep: WaitingStep, avoided: ReadonlySet<string>): Candidate | undefined => {
		const {isInTime} = waitingStep;
		const preferred = choicesFor(waitingStep, avoided);
		// A task that has failed at every endpoint is retried at any of them.
		const choices = preferred.length > 0 || avoided.size === 0 || avoided.size < capacities.length ? preferred : choicesFor(waitingStep, noEndpoints);
		return isInTime ? chooseInTime(choices, timeUntilDueOf(waitingStep), freeProcessor < scarceShare * totalProcessor) : chooseSlowest(choices);
	};

	const assign = (candidate: Candidate, waitingStep: WaitingStep, index: number): void => {
		const {part, position, step} = waitingStep;
		candidate.free = subtractResources(candidate.free, step.room);
		candidate.assignedTasks++;
		freeProcessor -= step.room.processor;
		placements.push({
			part, position, index, endpoint: candidate.capacity.endpoint,
		});
		if (step.mostOnOneEndpoint !== undefined) {
			const key = keyOf(waitingStep, candidate);
			assignedByStep.set(key, (assignedByStep.get(key) ?? 0) + 1);
		}

		if (!isAvailable(candidate)) {
			candidates = candidates.filter(one => one !== candidate);
		}

		bounds = boundsOf(candidates);
	};

	/** Places the tasks of a step. Tasks without a history are alike: once one of them finds no place, none of the others does. */
	const placeStep = (waitingStep: WaitingStep): void => {
		let isPlaceLeft = isPossible(waitingStep);
		if (!isPlaceLeft) {
			return;
		}

		for (const index of waitingStep.indexes) {
			const avoided = waitingStep.avoidedEndpoints(index);
			if (avoided.size === 0 && !isPlaceLeft) {
				continue;
			}

			const candidate = isPossible(waitingStep) ? choose(waitingStep, avoided) : undefined;
			if (candidate) {
				assign(candidate, waitingStep, index);
			} else if (avoided.size === 0) {
				isPlaceLeft = false;
			}
		}
	};

	for (const waitingStep of waiting) {
		if (candidates.length === 0) {
			break;
		}

		placeStep(waitingStep);
	}

	return placements;
};
