import {randomBytes} from 'node:crypto';
import {call} from './third-http.mjs';
import {hostName, mainPrefix} from './third-scene.mjs';

/**
Returns a new identifier of a job: 16 hexadecimal digits.
*/
export const createIdentifier = () => randomBytes(8).toString('hex');

/**
Returns a job that needn't be kept, whose steps run one after the other, each with one task.
*/
export const createChain = ({steps, milliseconds, processor}) => ({
	Spec: `${milliseconds} ${processor}`,
	BestEffort: true,
	Phases: Array.from({length: steps}, (_, step) => ({
		Count: 1, Cpu: processor, MemMb: 64, EstimateMs: milliseconds, ...(step > 0 && {After: [step - 1]}),
	})),
});

/**
Returns a job that needn't be kept, with one step.
*/
export const createTasks = ({tasks, milliseconds, estimateMilliseconds, processor}) => ({
	Spec: `${milliseconds} ${processor}`,
	BestEffort: true,
	Phases: [{
		Count: tasks, Cpu: processor, MemMb: 64, EstimateMs: estimateMilliseconds,
	}],
});

/**
Submits a job at a daemon, waits for its answer for as long as the caller says, and records both.
*/
export const submit = async (daemon, identifier, job, {waitMilliseconds, record}) => {
	record(`client: POST ${identifier} is sent to ${daemon.name}, X-Deadline-Ms ${waitMilliseconds}`);
	const sentAt = performance.now();
	const reply = await call(daemon.callers, 'POST', `${mainPrefix}${identifier}`, {body: job, headers: {host: hostName, 'x-deadline-ms': String(waitMilliseconds)}, waitMilliseconds});
	record(`client: POST ${identifier} at ${daemon.name}: ${reply.status === 0 ? `no answer (${reply.text})` : `${reply.status} ${reply.text}`}`);
	return {...reply, sentAt, answeredAt: performance.now()};
};

/**
Cancels a job at a daemon, and records the answer.
*/
export const cancel = async (daemon, identifier, {record}) => {
	record(`client: DELETE ${identifier} is sent to ${daemon.name}`);
	const reply = await call(daemon.callers, 'DELETE', `${mainPrefix}${identifier}`, {headers: {host: hostName}});
	record(`client: DELETE ${identifier} at ${daemon.name}: ${reply.status === 0 ? `no answer (${reply.text})` : `${reply.status} ${reply.text}`}`);
	return {...reply, answeredAt: performance.now()};
};

/**
The runs of a job at all runners.
*/
export const runsOf = (workers, identifier) => workers.flatMap(worker => worker.runs().filter(({task}) => task.startsWith(`${identifier}.`)));
