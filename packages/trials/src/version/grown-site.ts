import type {StandInQueue} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import type {WorkerOptions} from '@galenakeel/stand-ins/process/worker-stand-in.js';

/**
Kinds of jobs of a site that has grown.
*/
export enum JobKind {
	/** Many short tasks. */
	Wide = 'wide',
	/** Few long tasks. */
	Long = 'long',
	/** Two tasks of medium length. */
	Narrow = 'narrow',
}

/**
A log-normal distribution.
*/
export type Spread = {
	readonly mean: number;
	/** Standard deviation of the logarithm. */
	readonly deviation: number;
	readonly maximum: number;
};

/**
The jobs of one kind.
*/
export type JobClass = StandInQueue & {
	readonly kind: JobKind;
	/** Weight among all jobs. */
	readonly weight: number;
	readonly tasks: Spread;
	/** Run time of a task at speed 1. */
	readonly milliseconds: Spread;
	/** What an answer in time is worth to the users; one that is late is worth `lateValueShare` of it. */
	readonly value: number;
};

const objectiveFactor = 1.6;
const objectiveMilliseconds = 60;

const classOf = (kind: JobKind, fields: Omit<JobClass, 'kind' | 'name' | 'pathPrefix' | 'objectiveFactor' | 'objectiveMilliseconds'>): JobClass => ({
	kind, name: kind, pathPrefix: `/${kind}/`, objectiveFactor, objectiveMilliseconds, ...fields,
});

/**
The kinds of jobs, in the proportions of the sites.
*/
export const jobClasses: readonly JobClass[] = [
	classOf(JobKind.Wide, {
		weight: 206, tasks: {mean: 8, deviation: 0.4, maximum: 32}, milliseconds: {mean: 51, deviation: 0.4, maximum: 540}, value: 0.004_85, priority: 0, mostAttempts: 4,
	}),
	classOf(JobKind.Long, {
		weight: 37.5, tasks: {mean: 4, deviation: 0.4, maximum: 16}, milliseconds: {mean: 760, deviation: 0.4, maximum: 8100}, value: 0.0267, priority: 2, mostAttempts: 2,
	}),
	classOf(JobKind.Narrow, {
		weight: 600, tasks: {mean: 2, deviation: 0.4, maximum: 8}, milliseconds: {mean: 170, deviation: 0.4, maximum: 1800}, value: 0.001_67, priority: 1, mostAttempts: 3,
	}),
];

/** Processor demand of a task, in thousandths of a core. */
export const processorOfTask: Spread = {mean: 8000, deviation: 0.2, maximum: 12_000};

/** Share of the jobs whose tasks run longer than the others by `tailFactor`. */
export const tailShare = 0.03;
export const tailFactor = 7;
/** Largest error of an estimate, as a share of the run time. */
export const estimateError = 0.4;

/** Value of a late answer as a share of one in time. */
export const lateValueShare = 0.2;
/** An answer after this many objectives is worth nothing. */
export const expiryObjectives = 3;
/** Share of its value that a zone must earn on a day without faults. */
export const floorOfZone = 0.49;
/** Time that a caller waits for an answer. */
export const deadlineMilliseconds = 1500;
/** Time from a broken connection until the caller sends the job again. */
export const resendMilliseconds = 1300;

/** A third of the endpoints is larger and slower than the others. */
const endpointKinds: ReadonlyArray<Omit<WorkerOptions, 'rack'>> = [
	{processor: 16_000, speed: 0.7, label: 'a'},
	{processor: 16_000, speed: 0.7, label: 'a'},
	{processor: 24_000, speed: 1.7, label: 'b'},
];

/**
Returns what an endpoint offers, by its position in the fleet.

@example
```
endpointAt(2).label; // => 'b'
```
*/
export const endpointAt = (position: number): Omit<WorkerOptions, 'rack'> => endpointKinds[position % endpointKinds.length]!;

/**
A machine of the site.
*/
export type SiteMachine = {readonly cores: number; readonly share: number};

const largeMachines: readonly SiteMachine[] = [
	{cores: 2, share: 0.675}, {cores: 2, share: 0.675}, {cores: 1, share: 0.81}, {cores: 1, share: 0.81},
];
const smallMachine: SiteMachine = {cores: 1, share: 0.243};

/**
Returns the machine of a daemon, by its position in its zone: two large ones, two of medium size, the rest small.

@example
```
machineAt(0); // => {cores: 2, share: 0.675}
```
*/
export const machineAt = (position: number): SiteMachine => largeMachines[position] ?? smallMachine;

/** Limits of the memory of a daemon, as in its deploy file. */
export const memoryArguments: readonly string[] = ['--max-old-space-size=160', '--max-semi-space-size=8'];
