import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import {submitAsCaller, type CallerResult} from '../request/caller.js';
import {startFleet, type Fleet} from './fleet.js';
import {startCountsOf} from './start-counts.js';

const service = 'paysheet';
const demoMilliseconds = 12_000;
const callers = 12;
const tasksInJob = 5;
const killAtMilliseconds = 4000;
const drainAtMilliseconds = 6000;
const acceptAtMilliseconds = 8000;

type Tally = {submitted: number; complete: number; failed: number; notRun: number; outcomeUnknown: number; cutAnswers: number};

const count = (tally: Tally, result: CallerResult): void => {
	tally.submitted++;
	tally.cutAnswers += result.isCut ? 1 : 0;
	switch (result.outcome) {
		case Outcome.Complete: {
			tally.complete++;
			break;
		}

		case Outcome.Failed: {
			tally.failed++;
			break;
		}

		case Outcome.NotRun: {
			tally.notRun++;
			break;
		}

		case Outcome.OutcomeUnknown: {
			tally.outcomeUnknown++;
		}
	}
};

const jobBody = (name: string): string => JSON.stringify({
	service,
	team: 'payroll',
	tasks: Array.from({length: tasksInJob}, (_, position) => ({kind: 'sheet', path: `/sheet?task=${name}-${position}&run=${50 + (position * 20)}`, body: name})),
});

/** Submits a job under its own identifier, and resends it once if no answer was received. */
const sendJob = async (fleet: Fleet, name: string): Promise<CallerResult> => {
	const send = async (): Promise<CallerResult> => submitAsCaller(fleet.balancer.address, 'PUT', `/v1/jobs/${name}`, {body: jobBody(name)});
	const first = await send();
	return first.status === 0 ? send() : first;
};

const sendRequest = async (fleet: Fleet, name: string): Promise<CallerResult> =>
	submitAsCaller(fleet.balancer.address, 'POST', `/v1/services/${service}/sheet?task=${name}&run=60`, {body: name, headers: {'galenakeel-kind': 'sheet'}});

const runCaller = async (fleet: Fleet, caller: number, tally: Tally, until: number): Promise<void> => {
	for (let round = 0; Date.now() < until; round++) {
		const name = `demo-${caller}-${round}`;
		count(tally, await (round % 2 === 0 ? sendJob(fleet, name) : sendRequest(fleet, name)));
	}
};

const say = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const injectFaults = async (fleet: Fleet, startedAt: number): Promise<void> => {
	const at = async (milliseconds: number): Promise<void> => {
		await sleep(Math.max(0, startedAt + milliseconds - Date.now()));
	};

	const [killed, drained] = fleet.daemons;
	await at(killAtMilliseconds);
	killed!.signal('SIGKILL');
	fleet.list({gone: [killed!.instance]});
	say(`killed ${killed!.instance}`);
	await at(drainAtMilliseconds);
	drained!.signal('SIGTERM');
	say(`draining ${drained!.instance}`);
	await at(acceptAtMilliseconds);
	const version = await fleet.accept(service, document => ({...document, timeoutMilliseconds: 5000}));
	say(`accepted version ${version} of the document of ${service}`);
	const exit = await drained!.exited;
	say(`${drained!.instance} left with exit code ${exit}`);
};

const countStartedTwice = (fleet: Fleet): number => [...startCountsOf(fleet).values()].filter(times => times > 1).length;

const fleet = await startFleet({
	zones: ['zone-a', 'zone-b', 'zone-c'], daemonsPerZone: 2, endpointsPerZone: 2, slots: 8,
});
try {
	await fleet.accept(service);
	say('3 availability zones with 2 daemons and 2 endpoints each are serving');
	await sleep(1500);
	const tally: Tally = {
		submitted: 0, complete: 0, failed: 0, notRun: 0, outcomeUnknown: 0, cutAnswers: 0,
	};
	const startedAt = Date.now();
	await Promise.all([
		injectFaults(fleet, startedAt),
		...Array.from({length: callers}, async (_, caller) => runCaller(fleet, caller, tally, startedAt + demoMilliseconds)),
	]);
	const {cutAnswers, ...outcomes} = tally;
	say(JSON.stringify({...outcomes, startedTwice: countStartedTwice(fleet), cutAnswers}));
} finally {
	await fleet.stop();
}
