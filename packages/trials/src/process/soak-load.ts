import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import type {SoakCall, SoakJob} from '../request/check-soak.js';
import type {Random} from '../request/random.js';
import type {SoakProfile} from '../version/soak-profile.js';
import type {PlatformDaemon, PlatformFleet} from './platform-fleet.js';

/**
Jobs that are submitted while faults are injected.
*/
export type SoakLoad = {
	readonly jobs: readonly SoakJob[];
	/** Number of calls at a daemon that have no answer yet. */
	readonly openCallsAt: (instance: string) => number;
	/** Stops submitting, and resolves when the callers of all jobs have finished. */
	readonly stop: () => Promise<void>;
};

const processorOfTask = 1000;
const mostSteps = 2;
/** Maximum attempts of a task, as in the configuration of the stand-ins. */
const mostAttempts = 2;
const leastPatienceMilliseconds = 500;
const mostPatienceMilliseconds = 4000;
/** How long a caller waits that doesn't break its call off. Exceeds the longest time that a daemon holds a job, which is three objectives of the longest job. */
export const answerMilliseconds = 25_000;
const mostCalls = 3;
/** Delay after a call with unknown outcome before the caller resends its job to a random daemon. */
const resendMilliseconds = 1300;

const stateOf = (text: string): string | undefined => {
	try {
		return (JSON.parse(text) as {State?: string}).State;
	} catch {
		return undefined;
	}
};

const isConnectionRefused = (error: unknown): boolean => error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';

const isTimeout = (error: unknown): boolean => error instanceof Error && (error.name === 'AbortError' || error.name === 'TimeoutError');

/**
Which daemon a caller calls, and when it breaks the call off.
*/
export type PlannedCall = {readonly daemon: PlatformDaemon; readonly patienceMilliseconds: number};

/**
Performs a call and records what came of it.

@param described.isTimeoutOwn Whether a time-out means that the caller has broken the call off.
*/
export const readCall = async ({job, daemon, isTimeoutOwn}: {
	readonly job: string;
	readonly daemon: string;
	readonly isTimeoutOwn: boolean;
}, send: () => Promise<{readonly status: number; readonly text: string}>): Promise<SoakCall> => {
	const sentAt = performance.now();
	const base = {
		job, daemon, sentAt, isUnread: false, hasGivenUp: false,
	};
	try {
		const {status, text} = await send();
		return {
			...base, endedAt: performance.now(), status, state: stateOf(text), detail: text,
		};
	} catch (error) {
		return {
			...base, endedAt: performance.now(), hasGivenUp: isTimeoutOwn && isTimeout(error), isUnread: isConnectionRefused(error), status: undefined, state: undefined, detail: error instanceof Error ? error.message : String(error),
		};
	}
};

const callOnce = async (fleet: PlatformFleet, {daemon, patienceMilliseconds}: PlannedCall, identifier: string, body: unknown): Promise<SoakCall> =>
	readCall({
		job: identifier, daemon: daemon.instance, isTimeoutOwn: patienceMilliseconds < answerMilliseconds,
	}, async () => fleet.submit(daemon, identifier, body, patienceMilliseconds));

type OnCall = (instance: string, change: number) => void;

/**
Whether the outcome of a job is unknown to its caller, which then resends the job.
*/
export const isUnknown = ({status}: SoakCall): boolean => status === undefined || status === 502 || status === 504;

/**
Submits a job, and submits it again 1.3 s after each call that left its outcome unknown.

@param onCall Called with the daemon of each call, and 1 when the call begins or -1 when it has ended.
*/
export const callUntilKnown = async (fleet: PlatformFleet, planned: readonly PlannedCall[], identifier: string, body: unknown, onCall: OnCall): Promise<readonly SoakCall[]> => {
	const calls: SoakCall[] = [];
	for (const one of planned) {
		onCall(one.daemon.instance, 1);
		const last = await callOnce(fleet, one, identifier, body);
		onCall(one.daemon.instance, -1);
		calls.push(last);
		if (!isUnknown(last)) {
			break;
		}

		await sleep(resendMilliseconds);
	}

	return calls;
};

/**
Returns the names of a job's tasks, step by step, as endpoints see them.

@param counts Number of tasks of each step.
*/
export const nameTasks = (identifier: string, counts: readonly number[]): ReadonlyArray<readonly string[]> =>
	counts.map((count, step) => Array.from({length: count}, (_, index) => `${identifier}.0.${step}.${index}`));

/**
Submits a job with random steps, and resends it to random daemons while its outcome is unknown, up to three calls in all. The last call is never broken off.

@param onCall Called with the daemon of each call, and 1 when the call begins or -1 when it has ended.
*/
export const submitSoakJob = async (fleet: PlatformFleet, identifier: string, random: Random, profile: SoakProfile, onCall: OnCall): Promise<SoakJob> => {
	const milliseconds = random.integer(profile.leastTaskMilliseconds, profile.mostTaskMilliseconds);
	const steps = Array.from({length: random.integer(1, mostSteps)}, (_, step) => ({tasks: random.integer(profile.leastTasks, profile.mostTasks), ...(step > 0 && {after: [step - 1]})}));
	const body = createStandInJob(milliseconds, processorOfTask, steps);
	const planned = Array.from({length: mostCalls}, (_, position): PlannedCall => ({
		daemon: random.pick(fleet.daemons),
		patienceMilliseconds: random.fraction() < profile.impatientShare && position < mostCalls - 1 ? random.integer(leastPatienceMilliseconds, mostPatienceMilliseconds) : answerMilliseconds,
	}));
	return {
		identifier, steps: nameTasks(identifier, steps.map(({tasks}) => tasks)), mostAttempts, calls: await callUntilKnown(fleet, planned, identifier, body, onCall),
	};
};

/**
Starts submitting jobs to random daemons, with exponentially distributed gaps.

@example
```
const load = startSoakLoad(fleet, createRandom(7), soakProfiles.any);
await load.stop();
```
*/
export const startSoakLoad = (fleet: PlatformFleet, random: Random, profile: SoakProfile): SoakLoad => {
	const jobs: SoakJob[] = [];
	const openCalls = new Map<string, number>();
	const open = new Set<Promise<void>>();
	const stopping = new AbortController();

	const countCall = (instance: string, change: number): void => {
		openCalls.set(instance, (openCalls.get(instance) ?? 0) + change);
	};

	const submit = async (number: number): Promise<void> => {
		jobs.push(await submitSoakJob(fleet, number.toString(16).padStart(16, '0'), random, profile, countCall));
	};

	const run = async (): Promise<void> => {
		for (let number = 1; ; number++) {
			if (stopping.signal.aborted) {
				return;
			}

			const submitted = submit(number);
			open.add(submitted);
			void submitted.finally(() => {
				open.delete(submitted);
			});
			await sleep(-profile.meanGapMilliseconds * Math.log(1 - random.fraction()));
		}
	};

	const running = run();
	return {
		jobs,
		openCallsAt: instance => openCalls.get(instance) ?? 0,
		async stop() {
			stopping.abort();
			await running;
			await Promise.all(open);
		},
	};
};
