import type {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallerOperation, History} from '../request/history.js';
import type {Random} from '../request/random.js';
import type {Fleet} from './fleet.js';
import {recordSubmission, type RecordedSubmission} from './history-recorder.js';

/**
What a load sends.
*/
export type LoadShape = {
	readonly service: string;
	/** Instances through which the requests go, in turn. */
	readonly instances: readonly string[];
	/** Address that all requests go to instead, such as the balancer's. */
	readonly address?: string;
	readonly runMilliseconds: number;
	/** Tasks of each submission; above 1 they are jobs with minted identifiers. */
	readonly tasks?: number;
	readonly isDisturbed?: () => boolean;
};

/**
A load that goes on until it is stopped.
*/
export type CallerLoad = {
	/** Sends nothing more, and resolves with every operation once the last has ended. */
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
Starts callers that each send one request after the other, with a pause between.

@param options.agents One agent for each caller that keeps its connection; the others open one for each request.
@param options.mostPauseMilliseconds Longest pause; each is drawn.
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
Starts a load whose requests arrive at a fixed interval, whether or not the earlier ones have their answers.
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
