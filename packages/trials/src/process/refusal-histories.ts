import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import {ProvePoint} from '../version/prove-point.js';
import {
	blockOneWay, injectRandomFault, injectEndpointFaults, stopPlatform,
} from './fault-injections.js';
import type {FaultHistory} from './fault-history.js';
import {recordInspection} from './history-recorder.js';
import {
	createTrialHistory, runCallers, tasksOf, trialService, type Trial, type TrialSubmission,
} from './trial.js';

const callers = 30;
const pauseMilliseconds = 500;
// Every fourth job has a deadline beyond the pause.
const patientJobs = 4;
const patientDeadlineMilliseconds = 2000;
// Longer than the resolution of the clocks, so that the next attempt starts measurably after the refusal.
const betweenAttemptsMilliseconds = 5;
const fewSlots = {slots: 2};

const pickInstance = ({random, instances}: Trial): string => random.pick(instances);

/**
Submits a job through a random instance until it isn't refused, at most four times.
*/
const submitUntilRun = async (trial: Trial, job: Omit<TrialSubmission, 'instance'>): Promise<void> => {
	for (let attempt = 0; attempt < 4; attempt++) {
		const {outcome} = await trial.submit({...job, instance: pickInstance(trial)});
		if (outcome !== Outcome.NotRun) {
			return;
		}

		await sleep(betweenAttemptsMilliseconds);
	}
};

const shortJob = (trial: Trial, caller: number): Omit<TrialSubmission, 'instance'> => ({
	name: `job-${caller}`, tasks: trial.random.integer(1, 5), deadlineMilliseconds: trial.random.integer(30, 300),
});

/**
More jobs arrive than the endpoints can run before their deadlines, and endpoints fail in every way.
*/
export const overloadHistory: FaultHistory = createTrialHistory(ProvePoint.TrueRefusal, {size: fewSlots, document: {maximumQueueMilliseconds: 100}}, async trial => {
	await Promise.all([
		injectRandomFault(trial),
		injectEndpointFaults(trial),
		runCallers(trial, callers, 200, async caller => submitUntilRun(trial, shortJob(trial, caller))),
		runCallers(trial, callers, 200, async caller => {
			await trial.submit({name: `request-${caller}`, instance: pickInstance(trial), deadlineMilliseconds: trial.random.integer(30, 300)});
		}),
	]);
});

/**
An instance with queued tasks is paused beyond the deadlines of most of them.
*/
export const pausedQueueHistory: FaultHistory = createTrialHistory(ProvePoint.TrueRefusal, {size: fewSlots}, async trial => {
	const pause = async (): Promise<void> => {
		await trial.wait(150);
		trial.disturbed.add(trial.instances[0]!);
		trial.fleet.daemons[0]!.signal('SIGSTOP');
		await sleep(pauseMilliseconds);
		trial.fleet.daemons[0]!.signal('SIGCONT');
	};

	await Promise.all([
		pause(),
		injectRandomFault(trial),
		runCallers(trial, callers, 200, async caller => {
			const job = shortJob(trial, caller);
			await submitUntilRun(trial, caller % patientJobs === 0 ? {...job, deadlineMilliseconds: patientDeadlineMilliseconds} : job);
		}),
	]);
});

/**
All jobs are cancelled at the same time, through random instances, and submitted again.
*/
export const cancelWaveHistory: FaultHistory = createTrialHistory(ProvePoint.TrueRefusal, {size: fewSlots, document: {maximumQueueMilliseconds: 5000}}, async trial => {
	const jobs = Array.from({length: callers}, (_, caller) => ({name: `job-${caller}`, tasks: 4, runMilliseconds: 40}));
	const cancelAll = async (): Promise<void> => {
		await sleep(trial.random.integer(20, 300));
		await Promise.all(jobs.map(async job => recordInspection(trial.fleet, trial.history, {
			method: 'DELETE', instance: pickInstance(trial), identifier: job.name, tasks: tasksOf(job),
		})));
	};

	await Promise.all([
		cancelAll(),
		injectRandomFault(trial),
		...jobs.map(async job => {
			await trial.submit({...job, instance: pickInstance(trial)});
			await sleep(betweenAttemptsMilliseconds);
			await trial.submit({...job, instance: pickInstance(trial)});
		}),
	]);
});

/**
Jobs are queried and submitted again while the platform is down or bytes between two instances are lost.
*/
export const unreachableHistory: FaultHistory = createTrialHistory(ProvePoint.TrueRefusal, {}, async trial => {
	const jobs = Array.from({length: callers}, (_, caller) => ({name: `job-${caller}`, tasks: 2}));
	await Promise.all(jobs.map(async job => trial.submit({...job, instance: pickInstance(trial)})));
	await Promise.all([
		trial.random.pick([stopPlatform, blockOneWay])(trial),
		...jobs.map(async job => {
			await trial.wait(300);
			await recordInspection(trial.fleet, trial.history, {
				method: 'GET', instance: pickInstance(trial), identifier: job.name, tasks: tasksOf(job),
			});
		}),
		...jobs.map(async job => {
			await trial.wait(300);
			await trial.submit({
				...job, service: trialService, instance: pickInstance(trial), deadlineMilliseconds: 300,
			});
		}),
	]);
});
