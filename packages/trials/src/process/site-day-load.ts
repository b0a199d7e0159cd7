import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';
import type {SoakCall, SoakJob} from '../request/check-soak.js';
import {callerPatience, type GrownJob} from '../request/grown-job.js';
import {resendMilliseconds, type Spread} from '../version/grown-site.js';
import type {SiteZone} from '../version/site-day.js';
import {queueHost, type PlatformDaemon} from './platform-fleet.js';
import {isUnknown, nameTasks, readCall} from './soak-load.js';
import {runZoneCallers, type Caller} from './zone-callers.js';

/**
The callers of a zone of a small site.
*/
export type SiteZoneLoad = {
	readonly zone: SiteZone;
	/** All daemons of the site: a job may be sent again to any of them. */
	readonly daemons: readonly PlatformDaemon[];
	readonly seconds: number;
	readonly seed: number;
	/** Number of the first job; the numbers of two zones must not overlap. */
	readonly firstNumber: number;
};

const callersOfZone = 20;
const mostCalls = 3;
const processorOfTask: Spread = {mean: 6800, deviation: 0.2, maximum: 10_000};

const callOnce = async ({agent, daemon}: Caller, {identifier, jobClass, body}: GrownJob, patienceMilliseconds: number): Promise<SoakCall> =>
	readCall({
		job: identifier, daemon: daemon.instance, isTimeoutOwn: true,
	}, async () => call(daemon.callers, 'POST', `${jobClass.pathPrefix}${identifier}`, {
		body: JSON.stringify(body), headers: {host: queueHost, 'content-type': 'application/json', 'x-deadline-ms': String(patienceMilliseconds)}, agent, timeoutMilliseconds: patienceMilliseconds,
	}));

/** Submits a job, and submits it again to another daemon after each call that left its outcome unknown. */
const submitJob = async (caller: Caller, job: GrownJob, move: () => void): Promise<SoakJob> => {
	const calls: SoakCall[] = [];
	while (calls.length < mostCalls) {
		const last = await callOnce(caller, job, callerPatience(job));
		calls.push(last);
		if (!isUnknown(last)) {
			break;
		}

		move();
		await sleep(resendMilliseconds);
	}

	return {
		identifier: job.identifier, steps: nameTasks(job.identifier, [job.tasks]), mostAttempts: job.jobClass.mostAttempts, calls,
	};
};

/**
Submits the jobs of a zone at their planned times, whether or not earlier ones were answered, and resolves with all of them once the last has ended.

@example
```
const jobs = await runSiteZoneLoad({zone, daemons: fleet.daemons, seconds: 92, seed: 7, firstNumber: 1});
```
*/
export const runSiteZoneLoad = async ({zone, daemons, seconds, seed, firstNumber}: SiteZoneLoad): Promise<readonly SoakJob[]> => runZoneCallers({
	callers: callersOfZone,
	daemons: daemons.filter(daemon => daemon.zone === zone.name),
	otherDaemons: daemons,
	wave: {...zone.load, seconds},
	seed,
	firstNumber,
	processorOfTask,
	submit: submitJob,
});
