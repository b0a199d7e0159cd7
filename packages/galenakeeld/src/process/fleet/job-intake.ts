import {performance} from 'node:perf_hooks';
import {JobEnd, RefusalReason, type Job} from '@galenakeel/model/request/job.js';
import {findQueue, type Queue} from '@galenakeel/model/version/queue-configuration.js';
import type {FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {WaitingCaller} from '@galenakeel/model/connection/waiting-caller.js';
import type {holdJob, HoldOptions} from '../../request/hold-job.js';
import type {JobAnswer} from '../../request/job-answer.js';
import {homeCellOf, weightOfCell} from './cell-layout.js';
import type {CallerWaits} from './caller-waits.js';
import type {CellLayoutWatch} from './cell-layout-watch.js';
import type {CellOwners} from './cell-owners.js';
import type {ConfigurationFollower} from './configuration-follower.js';
import {HolderEvent, type HeldJob, type HeldJobs} from './held-jobs.js';
import type {OwnedCells} from './owned-cells.js';

/**
Accepts the jobs of this daemon's callers.
*/
export type JobIntake = {
	/** Returns the queue of a request, or why the request is refused. */
	readonly findQueue: (host: string, path: string) => {readonly queue: Queue; readonly pathPrefix: string} | RefusalReason;
	/** Holds a job until it has ended. */
	readonly submit: (job: Job, queue: Queue, caller: WaitingCaller) => Promise<JobAnswer>;
	/** Cancels a job that this daemon holds, for all callers that wait for it. Returns whether it holds the job. */
	readonly cancel: (identifier: string, queue: Queue) => boolean;
	/** Refuses all jobs from a time on, in monotonic milliseconds. */
	readonly closeAt: (time: number) => void;
};

/**
The answer to a job, as it is recorded.
*/
export type AnsweredJob = {
	readonly job: string;
	readonly queue: string;
	readonly answer: JobAnswer;
	readonly milliseconds: number;
};

/**
Why a daemon holds a job no longer for a caller.
*/
export enum CallerEnd {
	/** The end of its connection was read. */
	Disconnected = 'disconnected',
	/** The time is over for which it said that it would wait. */
	WaitOver = 'wait-over',
	/** Its job was cancelled. It waits for the answer. */
	Cancelled = 'cancelled',
}

/**
A caller for whom a job is held no longer before it was answered, as it is recorded.
*/
export type LeftCaller = {
	readonly job: string;
	readonly cause: CallerEnd;
	/** Time since its request was read, in milliseconds. */
	readonly milliseconds: number;
};

export type JobIntakeOptions = {
	readonly zone: string;
	readonly hold: typeof holdJob;
	readonly configuration: Pick<ConfigurationFollower, 'ageMilliseconds' | 'current' | 'isNewest'>;
	readonly layout: Pick<CellLayoutWatch, 'cellsOf'>;
	readonly endpointsOf: OwnedCells['endpointsOf'];
	readonly heldJobs: Pick<HeldJobs, 'hold'>;
	readonly owners: Pick<CellOwners, 'awaitOwner' | 'reachableCells'>;
	readonly send: (address: string, message: FleetMessage) => void;
	readonly callerWaits: CallerWaits;
	/** Waits until what had arrived from callers has been read. */
	readonly readArrivals: () => Promise<void>;
	readonly onAnswered: (answered: AnsweredJob) => void;
	readonly onCallerLeft: (left: LeftCaller) => void;
} & Pick<HoldOptions, 'lastHeardFrom' | 'onDecision' | 'runsEndAt' | 'successorWaitMilliseconds'>;

/** Maximum time since the last confirmation by the store up to which the configuration counts as current. */
const configurationFreshnessMilliseconds = 2500;

/** The answer to a caller that may have left before its request was read, since this daemon is behind. */
const refusalWhenBehind: JobAnswer = {end: JobEnd.Refused, reason: RefusalReason.Overloaded, retryAfterMilliseconds: 1000};

const keyOf = (identifier: string, queue: Queue): string => `${queue.name}/${identifier}`;

const waitOf = ({waitMilliseconds}: WaitingCaller): number => waitMilliseconds ?? Number.POSITIVE_INFINITY;

/**
Creates an intake that accepts jobs.

@example
```
const intake = createJobIntake(options);
const found = intake.findQueue('sheets.example', '/rerate/5c0e7a21d94b36f8');
```
*/
export const createJobIntake = (options: JobIntakeOptions): JobIntake => {
	const {zone, configuration, layout, endpointsOf, heldJobs, owners} = options;
	/** Monotonic milliseconds up to which jobs are accepted. */
	let acceptsUntil = Number.POSITIVE_INFINITY;
	/** Functions that cancel the jobs that are held, by queue and identifier; several for a job that its caller has submitted again. */
	const cancels = new Map<string, ReadonlySet<() => void>>();

	/** Makes a job known to those who may cancel it. Returns a function that forgets it. */
	const makeCancellable = (key: string, cancel: () => void): (() => void) => {
		cancels.set(key, new Set([...cancels.get(key) ?? [], cancel]));
		return () => {
			const others = [...cancels.get(key) ?? []].filter(one => one !== cancel);
			if (others.length > 0) {
				cancels.set(key, new Set(others));
			} else {
				cancels.delete(key);
			}
		};
	};

	const findHomeCell = (job: Job): string => {
		const weighted = layout.cellsOf(zone).map(cell => ({cell, weight: weightOfCell(endpointsOf(cell)?.length ?? 0)}));
		const hasRack = (cell: string, rack: string): boolean => endpointsOf(cell)?.some(({labels}) => labels.includes(rack)) ?? false;
		return homeCellOf(job, weighted, hasRack) ?? zone;
	};

	/** Holds a job until it has ended, its caller has left, or it is cancelled. */
	const holdForCaller = async (job: Job, queue: Queue, caller: WaitingCaller): Promise<{readonly answer: JobAnswer; readonly callerEnd: CallerEnd | undefined}> => {
		const arrivedAt = performance.now();
		const homeCell = findHomeCell(job);
		const heldParts = new Set<HeldJob>();
		let callerEnd: CallerEnd | undefined;
		let isAnswered = false;
		const leave = (cause: CallerEnd): void => {
			if (callerEnd !== undefined || isAnswered) {
				return;
			}

			callerEnd = cause;
			options.onCallerLeft({job: job.identifier, cause, milliseconds: performance.now() - arrivedAt});
			for (const {updates} of heldParts) {
				updates.push({kind: HolderEvent.CallerDisconnected});
			}
		};

		caller.disconnected.addEventListener('abort', () => {
			leave(CallerEnd.Disconnected);
		});
		const forgetWait = options.callerWaits.begin(caller.sentAfter, waitOf(caller), () => {
			leave(CallerEnd.WaitOver);
		});
		const forgetCancel = makeCancellable(keyOf(job.identifier, queue), () => {
			leave(CallerEnd.Cancelled);
		});
		const answer = await options.hold(job, queue, {
			homeCell,
			async hasCallerLeft() {
				await options.readArrivals();
				options.callerWaits.endOverdue();
				return callerEnd !== undefined;
			},
			hold() {
				const held = heldJobs.hold();
				heldParts.add(held);
				return held;
			},
			awaitOwner: owners.awaitOwner,
			otherCells: () => owners.reachableCells().filter(cell => cell !== homeCell),
			send({address}, message) {
				options.send(address, message);
			},
			successorWaitMilliseconds: options.successorWaitMilliseconds,
			lastHeardFrom: options.lastHeardFrom,
			runsEndAt: options.runsEndAt,
			onDecision: options.onDecision,
		}).finally(() => {
			isAnswered = true;
			forgetWait();
			forgetCancel();
		});
		return {answer, callerEnd};
	};

	return {
		findQueue(host, path) {
			if (performance.now() > acceptsUntil) {
				return RefusalReason.Leaving;
			}

			const current = configuration.current();
			if (!current) {
				return RefusalReason.NoConfiguration;
			}

			const queue = findQueue(current, host, path);
			if (queue) {
				return {queue, pathPrefix: queue.pathPrefix};
			}

			// The queue may exist in a newer configuration that this daemon has missed, or be one that it can't read.
			const isComplete = configuration.isNewest() && configuration.ageMilliseconds() < configurationFreshnessMilliseconds && current.unreadableQueues === 0;
			return isComplete ? RefusalReason.UnknownQueue : RefusalReason.NoConfiguration;
		},
		async submit(job, queue, caller) {
			const arrivedAt = performance.now();
			const isTooLate = options.callerWaits.mayBeOver(caller.sentAfter, waitOf(caller));
			const {answer, callerEnd} = isTooLate ? {answer: refusalWhenBehind, callerEnd: undefined} : await holdForCaller(job, queue, caller);
			options.onAnswered({
				job: job.identifier, queue: queue.name, answer, milliseconds: performance.now() - arrivedAt,
			});
			// A caller that is only taken to have left may wait on, and submit its job again.
			return answer.end === JobEnd.Cancelled && callerEnd !== CallerEnd.Cancelled ? {end: undefined} : answer;
		},
		cancel(identifier, queue) {
			const present = cancels.get(keyOf(identifier, queue));
			for (const cancel of present ?? []) {
				cancel();
			}

			return present !== undefined;
		},
		closeAt(time) {
			acceptsUntil = time;
		},
	};
};

/**
Returns why a job was refused; undefined for any other answer.
*/
export const refusalOf = (answer: JobAnswer): RefusalReason | undefined => answer.end === JobEnd.Refused ? answer.reason : undefined;
