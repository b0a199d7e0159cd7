import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';
import {
	callerPatience, JobOutcome, outcomeOfComplete, type EndedJob, type GrownJob,
} from '../request/grown-job.js';
import type {WaveLoad} from '../version/grown-plan.js';
import {processorOfTask, resendMilliseconds} from '../version/grown-site.js';
import {queueHost, type PlatformDaemon} from './platform-fleet.js';
import {runZoneCallers, type Caller} from './zone-callers.js';

/**
The callers of a zone.
*/
export type ZoneLoad = {
	readonly zone: string;
	readonly daemons: readonly PlatformDaemon[];
	readonly wave: WaveLoad;
	readonly seed: number;
	/** Number of the first job; the numbers of two zones must not overlap. */
	readonly firstNumber: number;
};

type CallEnd = {readonly status: number; readonly text: string} | undefined;

const callersOfZone = 29;
const mostResends = 2;
const completeStatus = 200;
const unknownStatuses: ReadonlySet<number> = new Set([502, 504]);
const refusalStatuses: ReadonlySet<number> = new Set([429, 503]);

const outcomeOfAnswer = (job: GrownJob, end: CallEnd, milliseconds: number): JobOutcome => {
	if (end === undefined) {
		return JobOutcome.Unanswered;
	}

	if (refusalStatuses.has(end.status)) {
		return JobOutcome.Refused;
	}

	return end.status === completeStatus && end.text.includes('complete') ? outcomeOfComplete(job, milliseconds) : JobOutcome.Failed;
};

const callOnce = async ({agent, daemon}: Caller, {identifier, jobClass, body}: GrownJob, timeoutMilliseconds: number): Promise<CallEnd> => {
	try {
		return await call(daemon.callers, 'POST', `${jobClass.pathPrefix}${identifier}`, {
			body: JSON.stringify(body), headers: {host: queueHost, 'content-type': 'application/json'}, agent, timeoutMilliseconds,
		});
	} catch {
		return undefined;
	}
};

/** Submits a job, and submits it again to another daemon after a call without an answer that didn't reach the caller's deadline. */
const submitJob = async (caller: Caller, job: GrownJob, move: () => void): Promise<Pick<EndedJob, 'milliseconds' | 'resends' | 'outcome'>> => {
	const startedAt = performance.now();
	const patience = callerPatience(job);
	for (let resends = 0; ; resends++) {
		const sentAt = performance.now();
		const end = await callOnce(caller, job, patience);
		const isExpired = performance.now() - sentAt >= patience;
		const isKnown = end !== undefined && !unknownStatuses.has(end.status);
		if (isKnown || isExpired || resends === mostResends) {
			const milliseconds = performance.now() - startedAt;
			return {milliseconds, resends, outcome: outcomeOfAnswer(job, end, milliseconds)};
		}

		move();
		await sleep(resendMilliseconds);
	}
};

/**
Submits the jobs of a zone at their planned times, whether or not earlier ones were answered, and resolves with all of them once the last has ended.

@example
```
const ended = await runZoneLoad({zone: 'north', daemons, wave, seed: 7, firstNumber: 1});
```
*/
export const runZoneLoad = async ({zone, daemons, wave, seed, firstNumber}: ZoneLoad): Promise<readonly EndedJob[]> => runZoneCallers({
	callers: callersOfZone,
	daemons,
	otherDaemons: daemons,
	wave,
	seed,
	firstNumber,
	processorOfTask,
	submit: async (caller, job, move, arrivedAt) => ({
		job, zone, arrivedAt, ...await submitJob(caller, job, move),
	}),
});
