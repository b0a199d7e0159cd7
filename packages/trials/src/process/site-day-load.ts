import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';
import {callSilently} from '../connection/silent-call.js';
import type {SoakCall, SoakJob} from '../request/check-soak.js';
import {
	Departure, planDeparture, type CallerHabits, type PlannedDeparture,
} from '../request/departure.js';
import type {GrownJob} from '../request/grown-job.js';
import {createRandom, type Random} from '../request/random.js';
import {resendMilliseconds, type Spread} from '../version/grown-site.js';
import type {SiteZone} from '../version/site-day.js';
import {queueHost, type PlatformDaemon} from './platform-fleet.js';
import {isUnknown, nameTasks, readCall} from './soak-load.js';
import {runZoneCallers, type Caller} from './zone-callers.js';

/**
The callers of a zone of a site.
*/
export type SiteZoneLoad = {
	readonly zone: SiteZone;
	/** All daemons of the site: a job may be sent again to any of them. */
	readonly daemons: readonly PlatformDaemon[];
	readonly seconds: number;
	readonly seed: number;
	/** Number of the first job; the numbers of two zones must not overlap. */
	readonly firstNumber: number;
	readonly habits: CallerHabits;
};

const callersOfZone = 20;
const mostCalls = 3;
const processorOfTask: Spread = {mean: 6800, deviation: 0.2, maximum: 10_000};

/** Gap between the seed of the jobs and that of the departures. */
const departureSeedGap = 2;

const callOnce = async ({agent, daemon}: Caller, {identifier, jobClass, body}: GrownJob, {departure, waitMilliseconds, leaveMilliseconds}: PlannedDeparture): Promise<SoakCall> =>
	readCall({
		job: identifier, daemon: daemon.instance, isTimeoutOwn: true,
	}, async () => {
		const isSilent = departure === Departure.Silent;
		const send = isSilent ? callSilently : call;
		return send(daemon.callers, 'POST', `${jobClass.pathPrefix}${identifier}`, {
			body: JSON.stringify(body),
			headers: {host: queueHost, 'content-type': 'application/json', 'x-deadline-ms': String(waitMilliseconds)},
			// A connection that stays open carries no further job.
			agent: isSilent ? undefined : agent,
			timeoutMilliseconds: leaveMilliseconds,
		});
	});

/** Submits a job, and submits it again to another daemon after each call that left its outcome unknown. */
const submitJob = async (caller: Caller, job: GrownJob, move: () => void, {random, habits}: {readonly random: Random; readonly habits: CallerHabits}): Promise<SoakJob> => {
	const calls: SoakCall[] = [];
	while (calls.length < mostCalls) {
		const last = await callOnce(caller, job, planDeparture(random, job, habits));
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
const jobs = await runSiteZoneLoad({zone, daemons: fleet.daemons, seconds: 92, seed: 7, firstNumber: 1, habits: patientCallers});
```
*/
export const runSiteZoneLoad = async ({zone, daemons, seconds, seed, firstNumber, habits}: SiteZoneLoad): Promise<readonly SoakJob[]> => {
	const random = createRandom(seed + departureSeedGap);
	return runZoneCallers({
		callers: callersOfZone,
		daemons: daemons.filter(daemon => daemon.zone === zone.name),
		otherDaemons: daemons,
		wave: {...zone.load, seconds},
		seed,
		firstNumber,
		processorOfTask,
		submit: async (caller, job, move) => submitJob(caller, job, move, {random, habits}),
	});
};
