import {once} from 'node:events';
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Arrival, ArrivalResult} from '../request/arrival.js';
import {submitAsCaller} from '../request/caller.js';

/**
Workload of one load generator process. Each arrival is sent to the address that its `daemon` indexes.
*/
export type GeneratorWorkload = {
	readonly addresses: readonly string[];
	/** Path of the service's requests, without the query. */
	readonly path: string;
	readonly arrivals: readonly Arrival[];
	/** Wall-clock time at which the run starts, in milliseconds since the epoch. */
	readonly startAt: number;
	readonly deadlineMilliseconds: number;
};

const answerMarginMilliseconds = 2000;
const bodyBytes = 256;
const body = 'x'.repeat(bodyBytes);

const sendArrival = async (workload: GeneratorWorkload, arrival: Arrival, agent: Agent, due: number): Promise<ArrivalResult> => {
	const sentAt = performance.now();
	const headers = {
		'galenakeel-kind': arrival.kind,
		'galenakeel-team': arrival.team,
		'galenakeel-deadline-milliseconds': String(workload.deadlineMilliseconds),
	};
	const result = await submitAsCaller(workload.addresses[arrival.daemon]!, 'POST', `${workload.path}?task=${arrival.name}&run=${arrival.runMilliseconds}`, {
		agent, headers, body, timeoutMilliseconds: workload.deadlineMilliseconds + answerMarginMilliseconds,
	});
	return {
		outcome: result.outcome, status: result.status, latenessMilliseconds: sentAt - due, responseMilliseconds: result.durationMilliseconds,
	};
};

/**
Sends every arrival when it is due, whether or not earlier ones have been answered (open loop).
*/
const generate = async (workload: GeneratorWorkload): Promise<readonly ArrivalResult[]> => {
	const agent = new Agent({keepAlive: true});
	const startAt = workload.startAt - performance.timeOrigin;
	const running: Array<Promise<ArrivalResult>> = [];
	for (const arrival of workload.arrivals) {
		const due = startAt + arrival.at;
		const wait = due - performance.now();
		if (wait > 0) {
			await sleep(wait);
		}

		running.push(sendArrival(workload, arrival, agent, due));
	}

	const results = await Promise.all(running);
	agent.destroy();
	return results;
};

const [workload] = await once(process, 'message') as [GeneratorWorkload];
process.send!(await generate(workload), () => {
	process.disconnect();
});
