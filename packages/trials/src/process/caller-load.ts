import type {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallerOperation, History} from '../request/history.js';
import type {Random} from '../request/random.js';
import type {Fleet} from './fleet.js';
import {recordSubmission, type RecordedSubmission} from './history-recorder.js';

/**
The requests that a load consists of.
*/
export type LoadShape = {
	readonly service: string;
	/** Instances that receive the requests, in round-robin order. */
	readonly instances: readonly string[];
	/** Address that receives all requests instead of the instances, such as that of the balancer. */
	readonly address?: string;
	readonly runMilliseconds: number;
	/** Number of tasks in each submission, 1 by default. Submissions of more than one task are jobs, whose identifiers the daemon assigns. */
	readonly tasks?: number;
	readonly isDisturbed?: () => boolean;
};

/**
A load that runs until it is stopped.
*/
export type CallerLoad = {
	/** Stops sending, and resolves with all operations once the last has ended. */
	readonly stop: () => Promise<readonly CallerOperation[]>;
};

const nextSubmission = (fleet: Fleet, shape: LoadShape): RecordedSubmission => {
	const number = fleet.takeNumber();
	const {tasks = 1, instances} = shape;
	return {
		...shape,
		identifier: '',
		tasks: Array.from({length: tasks}, (_, position) => tasks === 1 ? `single-${number}` : `load-${number}-${position}`),
		instance: instances[number % instances.length]!,
	};
};

/**
Starts a closed-loop load: each caller waits for its answer and a random pause before it sends the next request.

@param options.agents Agents of the callers that reuse their connection, by caller. Callers without one open a connection for each request.
@param options.maximumPauseMilliseconds Upper bound of the random pause between requests.
*/
export const startClosedLoad = (fleet: Fleet, history: History, shape: LoadShape, options: {callers: number; agents?: readonly Agent[]; maximumPauseMilliseconds: number; random: Random}): CallerLoad => {
	const operations: CallerOperation[] = [];
	const stopping = new AbortController();
	const runCaller = async (caller: number): Promise<void> => {
		while (!stopping.signal.aborted && !fleet.stopped.aborted) {
			operations.push(await recordSubmission(fleet, history, {...nextSubmission(fleet, shape), agent: options.agents?.[caller]}));
			await sleep(options.random.integer(0, options.maximumPauseMilliseconds));
		}
	};

	const callers = Array.from({length: options.callers}, async (_, caller) => runCaller(caller));
	return {
		async stop() {
			stopping.abort();
			await Promise.all(callers);
			return operations;
		},
	};
};

/**
Starts an open-loop load: requests are sent at a fixed interval, whether or not earlier ones have been answered.
*/
export const startOpenLoad = (fleet: Fleet, history: History, shape: LoadShape, intervalMilliseconds: number): CallerLoad => {
	const operations: Array<Promise<CallerOperation>> = [];
	const timer = setInterval(() => {
		operations.push(recordSubmission(fleet, history, nextSubmission(fleet, shape)));
	}, intervalMilliseconds);
	const endArrivals = (): void => {
		clearInterval(timer);
	};

	fleet.stopped.addEventListener('abort', endArrivals);
	return {
		async stop() {
			endArrivals();
			return Promise.all(operations);
		},
	};
};
