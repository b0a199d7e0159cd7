import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';
import type {SoakCall, SoakJob} from '../request/check-soak.js';
import {callerPatience, drawJob, type GrownJob} from '../request/grown-job.js';
import {createRandom} from '../request/random.js';
import {planArrivals} from '../version/grown-plan.js';
import {resendMilliseconds, type Spread} from '../version/grown-site.js';
import type {SiteZone} from '../version/site-day.js';
import {queueHost, type PlatformDaemon} from './platform-fleet.js';
import {isUnknown, nameTasks, readCall} from './soak-load.js';

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

/** A client, which keeps its connections to one daemon until a call there has no answer. */
type Client = {readonly agent: Agent; daemon: PlatformDaemon};

const clientsOfZone = 20;
const mostCalls = 3;
const processorOfTask: Spread = {mean: 6800, deviation: 0.2, maximum: 10_000};

const callOnce = async ({agent, daemon}: Client, {identifier, jobClass, body}: GrownJob, patienceMilliseconds: number): Promise<SoakCall> =>
	readCall({
		job: identifier, daemon: daemon.instance, isTimeoutOwn: true,
	}, async () => call(daemon.callers, 'POST', `${jobClass.pathPrefix}${identifier}`, {
		body: JSON.stringify(body), headers: {host: queueHost, 'content-type': 'application/json', 'x-deadline-ms': String(patienceMilliseconds)}, agent, timeoutMilliseconds: patienceMilliseconds,
	}));

/** Submits a job, and submits it again to another daemon after each call that left its outcome unknown. */
const submitJob = async (client: Client, job: GrownJob, moveClient: (client: Client) => void): Promise<SoakJob> => {
	const calls: SoakCall[] = [];
	while (calls.length < mostCalls) {
		const last = await callOnce(client, job, callerPatience(job));
		calls.push(last);
		if (!isUnknown(last)) {
			break;
		}

		moveClient(client);
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
export const runSiteZoneLoad = async ({zone, daemons, seconds, seed, firstNumber}: SiteZoneLoad): Promise<readonly SoakJob[]> => {
	const random = createRandom(seed);
	const daemonsOfZone = daemons.filter(daemon => daemon.zone === zone.name);
	const clients: readonly Client[] = Array.from({length: clientsOfZone}, () => ({agent: new Agent({keepAlive: true}), daemon: random.pick(daemonsOfZone)}));
	// Draws of its own, so that broken connections don't change the jobs.
	const moves = createRandom(seed + 1);
	const moveClient = (client: Client): void => {
		client.daemon = moves.pick(daemons);
	};

	const startedAt = performance.now();
	const open: Array<Promise<SoakJob>> = [];
	for (const [position, arrivedAt] of planArrivals(seed, {...zone.load, seconds}).entries()) {
		const waitMilliseconds = startedAt + arrivedAt - performance.now();
		if (waitMilliseconds > 0) {
			await sleep(waitMilliseconds);
		}

		open.push(submitJob(random.pick(clients), drawJob(random, firstNumber + position, processorOfTask), moveClient));
	}

	const jobs = await Promise.all(open);
	for (const {agent} of clients) {
		agent.destroy();
	}

	return jobs;
};
