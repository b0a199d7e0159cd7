import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {ProvePoint} from '../version/prove-point.js';
import {
	injectRandomFault, injectEndpointFaults, killEndpoint, injectBehaviour, silenceCallers, silenceEndpoint,
} from './fault-injections.js';
import type {FaultHistory} from './fault-history.js';
import {
	createTrialHistory, idempotentService, runCallers, trialService, type Trial,
} from './trial.js';

const callers = 12;
const requestsOfCaller = 6;
const longJobsOfCaller = 3;
const maximumPauseMilliseconds = 500;
// Below and above the size up to which a daemon buffers an answer before it forwards it (limits.bufferedBodyBytes, 1 MiB by default).
const longAnswers = [900_000, 1_500_000, 2_500_000];

/**
Callers, each with its own connection, send single requests one after the other. Some requests run longer than their time-out.
*/
const sendSingles = async (trial: Trial, service: string): Promise<void> => runCallers(trial, callers, 200, async caller => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	for (let request = 0; request < requestsOfCaller; request++) {
		await trial.submit({
			name: `${service}-${caller}-${request}`, service, instance: trial.random.pick(trial.instances), runMilliseconds: trial.random.pick([5, 20, 60, 60, 590, 610]), agent,
		});
	}

	agent.destroy();
});

const createSinglesHistory = (point: ProvePoint): FaultHistory => createTrialHistory(point, {}, async trial => {
	await Promise.all([injectEndpointFaults(trial), injectRandomFault(trial), sendSingles(trial, trialService)]);
});

/**
Endpoints fail in every way while callers reuse their connections: no answer may be truncated or matched to another request.
*/
export const crossedAnswersHistory: FaultHistory = createSinglesHistory(ProvePoint.WholeAnswer);

/**
Endpoints fail in every way: a request that isn't idempotent must never be sent again.
*/
export const nonIdempotentHistory: FaultHistory = createSinglesHistory(ProvePoint.AtMostOnce);

/**
Idempotent requests, which may be retried, share the endpoints with requests that must not be retried.
*/
export const mixedIdempotencyHistory: FaultHistory = createTrialHistory(ProvePoint.AtMostOnce, {}, async trial => {
	await Promise.all([injectEndpointFaults(trial), sendSingles(trial, trialService), sendSingles(trial, idempotentService)]);
});

/**
Long answers are forwarded while their endpoints or callers fail.
*/
export const longAnswerHistory: FaultHistory = createTrialHistory(ProvePoint.WholeAnswer, {}, async trial => {
	const fail = trial.random.pick([killEndpoint, injectBehaviour(EndpointBehaviour.HalfAnswer), silenceEndpoint, silenceCallers]);
	await Promise.all([
		(async () => {
			await trial.wait(150);
			await fail(trial);
		})(),
		runCallers(trial, callers, 200, async caller => {
			await trial.submit({
				name: `long-${caller}`, instance: trial.random.pick(trial.instances), answerBytes: trial.random.pick(longAnswers), callerTimeoutMilliseconds: 1500,
			});
		}),
	]);
	await trial.submit({name: 'last', instance: trial.instances[1]!});
});

/**
Jobs run on endpoints that fail in every way: the answer of a job is complete or reports a failure.
*/
export const failingEndpointsHistory: FaultHistory = createTrialHistory(ProvePoint.JobWhole, {}, async trial => {
	await Promise.all([
		injectEndpointFaults(trial),
		injectRandomFault(trial),
		runCallers(trial, callers, 400, async caller => {
			const job = {name: `job-${caller}`, tasks: 6};
			await trial.submit({...job, instance: trial.random.pick(trial.instances)});
			await sleep(5);
			await trial.submit({...job, instance: trial.random.pick(trial.instances)});
		}),
	]);
});

/**
Jobs with long answers are submitted and then submitted again, each time to a random instance, during and after endpoint faults.
*/
export const longJobHistory: FaultHistory = createTrialHistory(ProvePoint.JobWhole, {}, async trial => {
	await Promise.all([
		injectEndpointFaults(trial),
		runCallers(trial, 6, 200, async caller => {
			for (let round = 0; round < longJobsOfCaller; round++) {
				const job = {name: `job-${caller}-${round}`, tasks: 3, answerBytes: trial.random.pick(longAnswers)};
				await trial.submit({...job, instance: trial.random.pick(trial.instances)});
				await trial.submit({...job, instance: trial.random.pick(trial.instances)});
				await trial.wait(maximumPauseMilliseconds);
			}
		}),
	]);
});
