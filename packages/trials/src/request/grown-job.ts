import {createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {
	deadlineMilliseconds, estimateError, expiryObjectives, jobClasses, lateValueShare, processorOfTask, tailFactor, tailShare, type JobClass, type Spread,
} from '../version/grown-site.js';
import type {Random} from './random.js';

/**
A job of the load.
*/
export type GrownJob = {
	readonly identifier: string;
	readonly jobClass: JobClass;
	readonly tasks: number;
	/** Run time of each task at speed 1. */
	readonly milliseconds: number;
	readonly body: unknown;
};

/**
How the callers' calls for a job ended.
*/
export enum JobOutcome {
	/** Answered as complete within its objective. */
	InAim = 'in-aim',
	/** Answered as complete later, within three objectives. */
	Late = 'late',
	/** Answered as complete after that. */
	TooLate = 'too-late',
	/** Answered with 429 or 503. */
	Refused = 'refused',
	/** Answered otherwise. */
	Failed = 'failed',
	/** Not answered before the caller's deadline. */
	Unanswered = 'unanswered',
}

/**
A job with the end of its calls.
*/
export type EndedJob = {
	readonly job: GrownJob;
	readonly zone: string;
	/** Milliseconds from the start of the load. */
	readonly arrivedAt: number;
	readonly milliseconds: number;
	/** Number of calls that ended without an answer, after which the job was sent again. */
	readonly resends: number;
	readonly outcome: JobOutcome;
};

/** Share of a job's mean value that doesn't depend on its work. */
const fixedValueShare = 0.3;
const mostValueFactor = 4;

/** Draws from a normal distribution (Box and Muller, 1958). */
const drawNormal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());

const drawSpread = (random: Random, {mean, deviation, maximum}: Spread): number =>
	Math.min(maximum, mean * Math.exp((deviation * drawNormal(random)) - ((deviation ** 2) / 2)));

const pickClass = (random: Random): JobClass => {
	let left = random.fraction() * jobClasses.reduce((sum, {weight}) => sum + weight, 0);
	return jobClasses.find(({weight}) => {
		left -= weight;
		return left < 0;
	}) ?? jobClasses.at(-1)!;
};

/**
Draws a job of one step.

@param number Becomes its identifier.
@param processorOfTasks Processor demand of its tasks, in thousandths of a core.

@example
```
const {identifier, body} = drawJob(createRandom(7), 1);
```
*/
export const drawJob = (random: Random, number: number, processorOfTasks: Spread = processorOfTask): GrownJob => {
	const jobClass = pickClass(random);
	const {maximum} = jobClass.milliseconds;
	const factor = random.fraction() < tailShare ? tailFactor : 1;
	const milliseconds = Math.round(Math.min(maximum, factor * drawSpread(random, jobClass.milliseconds)));
	const tasks = Math.max(1, Math.round(drawSpread(random, jobClass.tasks)));
	const processor = Math.round(drawSpread(random, processorOfTasks));
	const estimate = Math.max(1, Math.round(milliseconds * (1 + (estimateError * ((2 * random.fraction()) - 1)))));
	return {
		identifier: number.toString(16).padStart(16, '0'), jobClass, tasks, milliseconds, body: createStandInJob(milliseconds, processor, [{tasks}], estimate),
	};
};

/**
Latency objective of a job, in milliseconds.
*/
export const objectiveOf = ({jobClass, milliseconds}: GrownJob): number => (jobClass.objectiveFactor * milliseconds) + jobClass.objectiveMilliseconds;

/**
Tells how late the answer to a complete job is.
*/
export const outcomeOfComplete = (job: GrownJob, milliseconds: number): JobOutcome => {
	if (milliseconds <= objectiveOf(job)) {
		return JobOutcome.InAim;
	}

	return milliseconds <= expiryObjectives * objectiveOf(job) ? JobOutcome.Late : JobOutcome.TooLate;
};

const valueOfOutcome: Partial<Record<JobOutcome, number>> = {[JobOutcome.InAim]: 1, [JobOutcome.Late]: lateValueShare};

const shareOfMean = ({tasks, milliseconds, jobClass}: GrownJob): number => (tasks * milliseconds) / (jobClass.tasks.mean * jobClass.milliseconds.mean);

/** Value of a job: a fixed part and one that grows with its work, up to a limit. */
const valueOf = (job: GrownJob): number => job.jobClass.value * Math.min(mostValueFactor, fixedValueShare + ((1 - fixedValueShare) * shareOfMean(job)));

/**
Share of the value of the jobs that was earned; 1 when there are none.

@example
```
earnedShare(ended.filter(({zone}) => zone === 'north'));
```
*/
export const earnedShare = (ended: readonly EndedJob[]): number => {
	const owed = ended.reduce((sum, {job}) => sum + valueOf(job), 0);
	const earned = ended.reduce((sum, {job, outcome}) => sum + (valueOf(job) * (valueOfOutcome[outcome] ?? 0)), 0);
	return owed === 0 ? 1 : earned / owed;
};

/**
Time that the caller of a job waits for an answer to a call: the deadline of the site, or longer if an answer still has a value then. In milliseconds.
*/
export const callerPatience = (job: GrownJob): number => Math.ceil(Math.max(deadlineMilliseconds, expiryObjectives * objectiveOf(job)));
