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
// Time in which a task that a daemon has sent reaches its endpoint.
const settleMilliseconds = 100;

// The daemon's default for limits.bufferedBodyBytes.
const bufferedBodyBytes = 1_048_576;

// Short intervals and time-outs keep the duration of a history to a few seconds.
const quickSettings = {
	platform: {pollMilliseconds: 100, timeoutMilliseconds: 300},
	peers: {heartbeatMilliseconds: 100, callTimeoutMilliseconds: 300},
	endpoints: {connectTimeoutMilliseconds: 200, maximumIdleMilliseconds: 1000},
};

/**
The default service of a trial. Its document sets a time-out of 600 ms for an answer.
*/
export const trialService = 'paysheet';

/**
An idempotent service on the same endpoints, whose tasks may start more than once.
*/
export const idempotentService = 'quote-svc';

/**
A submission of a trial. The run time is random when absent; the other optional properties have defaults.
*/
export type TrialSubmission = {
	readonly name: string;
	readonly instance: string;
	/** Number of tasks of a job; absent for a single request. */
	readonly tasks?: number;
	readonly service?: string;
	readonly runMilliseconds?: number;
	readonly deadlineMilliseconds?: number;
	readonly answerBytes?: number;
	/** Whether a single request carries its name as the idempotency key. */
	readonly isKeyed?: boolean;
	readonly callerTimeoutMilliseconds?: number;
	readonly agent?: Agent;
};

/**
A fleet under fault injection, with the history that records its callers.
*/
export type Trial = {
	readonly fleet: Fleet;
	readonly history: History;
	readonly random: Random;
	/** Names of instances that were killed, frozen or disconnected from their callers. */
	readonly disturbed: Set<string>;
	readonly instances: readonly string[];
	readonly submit: (submission: TrialSubmission) => Promise<CallerOperation>;
	/** Waits for a random time of at most the given length. */
	readonly wait: (mostMilliseconds: number) => Promise<void>;
};

/**
Waits until a condition is met or the time-out has passed, and returns in both cases.
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
			throw new Error(`catalogue version ${version} was not in force on every daemon within ${inForceTimeoutMilliseconds} ms`);
		}

		await sleep(pollIntervalMilliseconds * 10);
	}
};

/**
Returns the names under which the endpoints receive a submission's tasks. Those of single requests begin with "single".
*/
export const tasksOf = ({name, tasks}: Pick<TrialSubmission, 'name' | 'tasks'>): readonly string[] =>
	tasks === undefined ? [`single-${name}`] : Array.from({length: tasks}, (_, position) => `${name}-${position}`);

const identifierOf = ({name, tasks, isKeyed}: TrialSubmission): string => tasks === undefined && !isKeyed ? '' : name;

/**
Tells whether the daemon streams the answer instead of buffering it. When the endpoint aborts a streamed answer, the caller sees an incomplete one.
*/
const isStreamed = ({tasks, isKeyed, answerBytes = 0}: TrialSubmission): boolean =>
	tasks === undefined && !isKeyed && answerBytes > bufferedBodyBytes;

const createTrial = (fleet: Fleet, history: History, random: Random): Trial => {
	const disturbed = new Set<string>();
	const runs = new Map<string, number>();

	/** Draws one run time for each name: the run time is part of the path, and a repeat counts as the same submission only with the same path. */
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
				callerTimeoutMilliseconds: 5000,
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
Overrides of a trial for the size of its fleet and for both service documents.
*/
export type TrialOptions = {readonly size?: Partial<FleetSize>; readonly document?: Readonly<Record<string, unknown>>};

/**
Creates a fault history: starts a fleet, runs the callers and the faults, and collects the starts from the endpoints.

A history without a complete submission proves nothing, so it counts as a violation.

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
Runs a number of callers concurrently, each after a random delay.
*/
export const runCallers = async (trial: Trial, count: number, spreadMilliseconds: number, act: (caller: number) => Promise<void>): Promise<void> => {
	await Promise.all(Array.from({length: count}, async (_, caller) => {
		await trial.wait(spreadMilliseconds);
		await act(caller);
	}));
};
