import {setTimeout as sleep} from 'node:timers/promises';
import type {FaultHistory} from './fault-history.js';
import {startFleet} from './fleet.js';
import {collectStarts, recordSubmission} from './history-recorder.js';

const service = 'paysheet';
const inForceMilliseconds = 1500;
const jobs = 20;
const tasksInJob = 4;

/**
Kills a daemon while it runs jobs, and submits every job again through the other one.
*/
const killHolder: FaultHistory = async (history, random) => {
	const fleet = await startFleet({
		zones: ['zone-a', 'zone-b'], daemonsPerZone: 1, endpointsPerZone: 1, slots: 8, isProxied: true,
	});
	try {
		await fleet.accept(service);
		await sleep(inForceMilliseconds);
		const [holder, other] = fleet.daemons as [typeof fleet.daemons[0], typeof fleet.daemons[0]];
		let isKilled = false;
		const kill = async (): Promise<void> => {
			await sleep(random.integer(20, 300));
			isKilled = true;
			holder.signal('SIGKILL');
		};

		const submitTwice = async (job: number): Promise<void> => {
			const identifier = `job-${job}`;
			const submission = {
				identifier,
				service,
				tasks: Array.from({length: tasksInJob}, (_, position) => `${identifier}-${position}`),
				runMilliseconds: random.integer(5, 60),
				deadlineMilliseconds: 5000,
				isDisturbed: () => isKilled,
			};
			await recordSubmission(fleet, history, {...submission, instance: holder.instance});
			await recordSubmission(fleet, history, {...submission, instance: other.instance});
		};

		await Promise.all([kill(), ...Array.from({length: jobs}, async (_, job) => submitTwice(job))]);
		collectStarts(fleet, history);
		return [];
	} finally {
		await fleet.stop();
	}
};

/**
The histories of the points about submissions and their answers.
*/
export const submissionHistories: Readonly<Record<'startsOnce' | 'jobWhole' | 'wholeAnswer' | 'trueRefusal' | 'atMostOnce', readonly FaultHistory[]>> = {
	startsOnce: [killHolder],
	jobWhole: [],
	wholeAnswer: [],
	trueRefusal: [],
	atMostOnce: [],
};
