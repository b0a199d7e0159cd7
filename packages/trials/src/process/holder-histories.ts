import {setTimeout as sleep} from 'node:timers/promises';
import {ProvePoint} from '../version/prove-point.js';
import {injectRandomFault} from './fault-injections.js';
import type {FaultHistory} from './fault-history.js';
import {
	createTrialHistory, runCallers, waitUntil, type Trial, type TrialSubmission,
} from './trial.js';

const callers = 12;
const tasksInJob = 4;
const stepTimeoutMilliseconds = 1000;
const pauseMilliseconds = 1200;

/**
Progress of the jobs when their holder fails.
*/
enum JobStep {
	/** The claim has been sent to the platform but may not be stored. */
	BeforeClaim = 'before-claim',
	/** A claim is stored in the table. */
	AfterClaim = 'after-claim',
	/** A task has started. */
	AfterStart = 'after-start',
	/** Some tasks have answered. */
	MidAnswer = 'mid-answer',
	/** A caller has received its answer. */
	AfterAnswer = 'after-answer',
}

const hasStarts = ({fleet}: Trial): boolean => fleet.endpoints.some(({standIn}) => standIn.starts().length > 0);

const waitForStep = async (trial: Trial, step: JobStep): Promise<void> => {
	const {fleet, history, wait} = trial;
	switch (step) {
		case JobStep.BeforeClaim: {
			fleet.platform.faults.delayMilliseconds = 100;
			await sleep(50);
			fleet.platform.faults.delayMilliseconds = 0;
			return;
		}

		case JobStep.AfterClaim: {
			await waitUntil(() => fleet.platform.rows().some(({key}) => key.startsWith('claim/')), stepTimeoutMilliseconds);
			return;
		}

		case JobStep.AfterStart: {
			await waitUntil(() => hasStarts(trial), stepTimeoutMilliseconds);
			return;
		}

		case JobStep.MidAnswer: {
			await waitUntil(() => hasStarts(trial), stepTimeoutMilliseconds);
			await wait(60);
			return;
		}

		case JobStep.AfterAnswer: {
			await waitUntil(() => history.operations.length > 0, stepTimeoutMilliseconds);
		}
	}
};

/**
Submits through the holder, at about the same time through a second instance, and once more at the end through the holder or the third.
*/
const submitEverywhere = async (trial: Trial, submission: Omit<TrialSubmission, 'instance'>): Promise<void> => {
	const {instances, random, submit} = trial;
	const [holder, second, third] = instances as [string, string, string];
	await Promise.all([
		submit({...submission, instance: holder}),
		(async () => {
			await sleep(random.pick([0, 2, 100, 300]));
			await submit({...submission, instance: second});
		})(),
	]);
	await submit({...submission, instance: random.pick([holder, third])});
};

const jobOf = (caller: number): Omit<TrialSubmission, 'instance'> => ({name: `job-${caller}`, tasks: tasksInJob});

const keyOf = (caller: number): Omit<TrialSubmission, 'instance'> => ({name: `key-${caller}`, isKeyed: true});

const killHolder = async (trial: Trial, step: JobStep): Promise<void> => {
	const {fleet, random, disturbed, instances} = trial;
	const holder = instances[0]!;
	await waitForStep(trial, step);
	disturbed.add(holder);
	fleet.daemons[0]!.signal('SIGKILL');
	if (random.fraction() < 0.5) {
		await fleet.daemons[0]!.exited;
		await fleet.restart(holder);
	}
};

const pauseHolder = async (trial: Trial): Promise<void> => {
	const {fleet, random, disturbed, instances} = trial;
	await waitForStep(trial, random.pick(Object.values(JobStep)));
	disturbed.add(instances[0]!);
	fleet.daemons[0]!.signal('SIGSTOP');
	await sleep(pauseMilliseconds);
	fleet.daemons[0]!.signal('SIGCONT');
};

const createKillHistory = (step: JobStep): FaultHistory => createTrialHistory(ProvePoint.StartsOnce, {}, async trial => {
	await Promise.all([
		killHolder(trial, step),
		injectRandomFault(trial),
		runCallers(trial, callers, 150, async caller => submitEverywhere(trial, jobOf(caller))),
	]);
});

/**
A daemon is killed at each step of its jobs, and every job is also submitted through other instances.
*/
export const killHistories: readonly FaultHistory[] = Object.values(JobStep).map(step => createKillHistory(step));

/**
A daemon is paused for longer than every time-out while its jobs are also submitted through other instances.
*/
export const pauseHistory: FaultHistory = createTrialHistory(ProvePoint.StartsOnce, {}, async trial => {
	await Promise.all([
		pauseHolder(trial),
		injectRandomFault(trial),
		runCallers(trial, callers, 150, async caller => submitEverywhere(trial, {...jobOf(caller), deadlineMilliseconds: 800, callerTimeoutMilliseconds: 2500})),
	]);
});

/**
Every job is submitted twice through all instances at the same time while faults are injected.
*/
export const raceHistory: FaultHistory = createTrialHistory(ProvePoint.StartsOnce, {}, async trial => {
	await Promise.all([
		injectRandomFault(trial),
		injectRandomFault(trial),
		runCallers(trial, callers * 2, 300, async caller => {
			for (let round = 0; round < 2; round++) {
				await Promise.all(trial.instances.map(async instance => trial.submit({...jobOf(caller), instance})));
			}
		}),
	]);
});

/**
Answers are retained for 1 ms only, and jobs are submitted again while the platform is down: a repeated submission finds neither the answer nor the claim.
*/
export const expiredAnswersHistory: FaultHistory = createTrialHistory(ProvePoint.StartsOnce, {
	size: {settings: {platform: {pollMilliseconds: 100, timeoutMilliseconds: 200}, answers: {retentionMilliseconds: 1}}},
}, async trial => {
	const {fleet, random, instances, submit} = trial;
	const submitAll = async (deadlineMilliseconds: number): Promise<void> => runCallers(trial, callers, 50, async caller => {
		await submit({...jobOf(caller), instance: random.pick(instances), deadlineMilliseconds});
	});
	await submitAll(500);
	// Expired answers are removed twice a second.
	await sleep(700);
	fleet.platform.faults.isDown = true;
	await submitAll(500);
	fleet.platform.faults.isDown = false;
	// Long enough for pending claims to complete after the platform is back.
	await submitAll(3000);
});

/**
Single requests with an idempotency key are sent through two instances at about the same time while one of them is killed.
*/
export const keyedHistory: FaultHistory = createTrialHistory(ProvePoint.AtMostOnce, {}, async trial => {
	await Promise.all([
		killHolder(trial, trial.random.pick(Object.values(JobStep))),
		injectRandomFault(trial),
		runCallers(trial, callers * 2, 150, async caller => submitEverywhere(trial, keyOf(caller))),
	]);
});
