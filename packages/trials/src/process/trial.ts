import type {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Violation} from '../request/check-history.js';
import type {CallerOperation, History} from '../request/history.js';
import type {Random} from '../request/random.js';
import type {ProvePoint} from '../version/prove-point.js';
import type {FaultHistory} from './fault-history.js';
import {startFleet, type Fleet, type FleetSize} from './fleet.js';
import {collectStarts, recordSubmission} from './history-recorder.js';

const inForceTimeoutMilliseconds = 10_000;
const pollIntervalMilliseconds = 2;
// A task that has left a daemon reaches its endpoint in this time.
const settleMilliseconds = 100;

// The daemons' default of limits.bufferedBodyBytes.
const bufferedBodyBytes = 1_048_576;

// Short intervals and time-outs, so that a history takes seconds.
const quickSettings = {
	platform: {pollMilliseconds: 100, timeoutMilliseconds: 300},
	peers: {heartbeatMilliseconds: 100, callTimeoutMilliseconds: 300},
	endpoints: {connectTimeoutMilliseconds: 200, maximumIdleMilliseconds: 1000},
};

/**
The service of every trial. Its document grants 600 ms for an answer.
*/
export const trialService = 'paysheet';

/**
The service of the same endpoints whose tasks may start more than once.
*/
export const idempotentService = 'quote-svc';

/**
A submission of a trial; what it leaves out is drawn or has a default.
*/
export type TrialSubmission = {
	readonly name: string;
	readonly instance: string;
	/** Number of tasks; a single request has none. */
	readonly tasks?: number;
	readonly service?: string;
	readonly runMilliseconds?: number;
	readonly deadlineMilliseconds?: number;
	readonly answerBytes?: number;
	/** Whether the name is the idempotency key of a single request. */
	readonly isKeyed?: boolean;
	readonly patienceMilliseconds?: number;
	readonly agent?: Agent;
};

/**
A fleet whose callers are recorded while faults are brought about.
*/
export type Trial = {
	readonly fleet: Fleet;
	readonly history: History;
	readonly random: Random;
	/** Names of the instances that were killed, frozen or cut off from their callers. */
	readonly disturbed: Set<string>;
	readonly instances: readonly string[];
	readonly submit: (submission: TrialSubmission) => Promise<CallerOperation>;
	/** Waits a random time up to a limit. */
	readonly wait: (mostMilliseconds: number) => Promise<void>;
};

/**
Waits until a condition holds, at most for a time.
*/
export const waitUntil = async (isMet: () => boolean, timeoutMilliseconds: number): Promise<void> => {
	const until = Date.now() + timeoutMilliseconds;
	while (!isMet() && Date.now() < until) {
		await sleep(pollIntervalMilliseconds);
	}
};

const untilInForce = async (fleet: Fleet, version: number): Promise<void> => {
	const until = Date.now() + inForceTimeoutMilliseconds;
	for (;;) {
		const statuses = await Promise.all(fleet.daemons.map(async daemon => daemon.status()));
		if (statuses.every(status => Number(status.catalogueVersion) >= version)) {
			return;
		}

		if (Date.now() > until) {
			throw new Error(`version ${version} is not in force everywhere after ${inForceTimeoutMilliseconds} ms`);
		}

		await sleep(pollIntervalMilliseconds * 10);
	}
};

/**
Returns the names of a submission's tasks, as they reach the endpoints. Those of single requests begin with "single".
*/
export const tasksOf = ({name, tasks}: Pick<TrialSubmission, 'name' | 'tasks'>): readonly string[] =>
	tasks === undefined ? [`single-${name}`] : Array.from({length: tasks}, (_, position) => `${name}-${position}`);

const identifierOf = ({name, tasks, isKeyed}: TrialSubmission): string => tasks === undefined && !isKeyed ? '' : name;

/**
Tells whether an answer is passed on as it comes; when its endpoint breaks off, the caller sees the cut.
*/
const isStreamed = ({tasks, isKeyed, answerBytes = 0}: TrialSubmission): boolean =>
	tasks === undefined && !isKeyed && answerBytes > bufferedBodyBytes;

const createTrial = (fleet: Fleet, history: History, random: Random): Trial => {
	const disturbed = new Set<string>();
	const runs = new Map<string, number>();

	/** Draws a run time once for each name, since a repeat is the same submission only with the same path. */
	const drawRun = (name: string): number => {
		const run = runs.get(name) ?? random.integer(5, 60);
		runs.set(name, run);
		return run;
	};

	return {
		fleet,
		history,
		random,
		disturbed,
		instances: fleet.daemons.map(({instance}) => instance),
		async submit(submission) {
			const {name, instance, service = trialService, runMilliseconds = drawRun(name), isKeyed = false, ...terms} = submission;
			return recordSubmission(fleet, history, {
				deadlineMilliseconds: 2000,
				patienceMilliseconds: 5000,
				...terms,
				identifier: identifierOf(submission),
				tasks: tasksOf(submission),
				service,
				instance,
				runMilliseconds,
				...(isKeyed && {idempotencyKey: name}),
				isIdempotent: service === idempotentService,
				isDisturbed: () => disturbed.has(instance) || isStreamed(submission),
			});
		},
		wait: async mostMilliseconds => sleep(random.integer(0, mostMilliseconds)),
	};
};

/**
What a trial changes of its fleet and of both documents.
*/
export type TrialOptions = {readonly size?: Partial<FleetSize>; readonly document?: Readonly<Record<string, unknown>>};

/**
Creates a fault history: starts a fleet, has the callers and the faults act, and collects the starts.

A history in which nothing was complete shows nothing, and counts as a violation.

@example
```
const history = createTrialHistory(ProvePoint.StartsOnce, {}, async trial => { … });
```
*/
export const createTrialHistory = (point: ProvePoint, options: TrialOptions, act: (trial: Trial) => Promise<void>): FaultHistory => async (history, random) => {
	const fleet = await startFleet({
		zones: ['zone-a', 'zone-b', 'zone-c'], daemonsPerZone: 1, endpointsPerZone: 1, slots: 8, isProxied: true, settings: quickSettings, ...options.size,
	});
	try {
		const terms = {timeoutMilliseconds: 600, deadlineMilliseconds: 2000, ...options.document};
		await fleet.accept(trialService, document => ({...document, ...terms}));
		await untilInForce(fleet, await fleet.accept(idempotentService, document => ({...document, ...terms, idempotent: true})));
		await act(createTrial(fleet, history, random));
		await sleep(settleMilliseconds);
		collectStarts(fleet, history);
		const hasCompleteSubmission = history.operations.some(({outcome}) => outcome === Outcome.Complete);
		return hasCompleteSubmission ? [] : [{point, detail: 'no submission was complete, so the history shows nothing'} satisfies Violation];
	} finally {
		await fleet.stop();
	}
};

/**
Has many callers act, each after a random time.
*/
export const runCallers = async (trial: Trial, count: number, spreadMilliseconds: number, act: (caller: number) => Promise<void>): Promise<void> => {
	await Promise.all(Array.from({length: count}, async (_, caller) => {
		await trial.wait(spreadMilliseconds);
		await act(caller);
	}));
};
