import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Arrival, ArrivalResult} from '../request/arrival.js';
import {atMost, type BenchTarget} from '../version/bench-line.js';
import {percentile} from '../version/percentile.js';
import type {PlannedLoad} from '../version/planned-load.js';
import {benchService, countMessages, longDeadlineMilliseconds} from './bench-fleet.js';
import type {Fleet} from './fleet.js';
import {startLoad} from './load-generators.js';

/**
An arrival after the warm-up, with the result that the caller observed and the response of the ideal queue.
*/
export type MeasuredTask = ArrivalResult & {
	readonly arrival: Arrival;
	/** Response time that one ideal queue for the whole fleet would give, in milliseconds. */
	readonly idealMilliseconds: number;
};

/**
Measurements of a load run.
*/
export type LoadMeasurement = {
	readonly tasks: readonly MeasuredTask[];
	/** Wall-clock time at which the run started, in milliseconds since the epoch. */
	readonly startAt: number;
	readonly messagesPerTask: number;
	/** Target for the lateness of the load generators. A run that misses it is invalid. */
	readonly validity: BenchTarget;
};

const latenessLimitMilliseconds = 5;

/**
Creates the target for the lateness of the load generators.

A run that misses it is invalid, since the generators did not send the planned load.
*/
export const latenessTarget = (results: ReadonlyArray<Pick<ArrivalResult, 'latenessMilliseconds'>>): BenchTarget =>
	atMost('p99 lateness of the load generators, ms', latenessLimitMilliseconds, percentile(results.map(({latenessMilliseconds}) => latenessMilliseconds), 0.99));

/**
Returns the measured tasks as if the ideal queue had served the planned load.
*/
export const measureIdeal = ({arrivals, ideal, warmUpMilliseconds}: PlannedLoad): readonly MeasuredTask[] => arrivals
	.map((arrival, position) => ({
		arrival, idealMilliseconds: ideal[position]!, responseMilliseconds: ideal[position]!, outcome: Outcome.Complete, status: 200, latenessMilliseconds: 0,
	}))
	.filter(({arrival}) => arrival.at >= warmUpMilliseconds);

/**
Options of a load run.
*/
export type LoadOptions = {
	readonly injectFaults?: (startAt: number) => Promise<void>;
	readonly addresses?: readonly string[];
	readonly deadlineMilliseconds?: number;
};

/**
Sends a planned load to a fleet, and measures the arrivals after the warm-up.

@param options.injectFaults Called once, with the wall-clock time at which the run starts, in milliseconds since the epoch.
@param options.addresses Addresses that callers connect to. The default is the caller port of each daemon.
@param options.deadlineMilliseconds Deadline of each task. The default is too long for a refusal.
*/
export const measureLoad = async (fleet: Fleet, load: PlannedLoad, options: LoadOptions = {}): Promise<LoadMeasurement> => {
	const {addresses = fleet.daemons.map(({callers}) => callers), deadlineMilliseconds = longDeadlineMilliseconds} = options;
	const {startAt, results} = startLoad({
		addresses, path: `/v1/services/${benchService}/sheet`, arrivals: load.arrivals, deadlineMilliseconds,
	});
	void options.injectFaults?.(startAt);
	await sleep(Math.max(0, startAt + load.warmUpMilliseconds - Date.now()));
	const before = await countMessages(fleet);
	await sleep(Math.max(0, startAt + load.arrivals.at(-1)!.at - Date.now()));
	const after = await countMessages(fleet);
	const answered = await results;
	const tasks = load.arrivals
		.map((arrival, position) => ({arrival, idealMilliseconds: load.ideal[position]!, ...answered[position]!}))
		.filter(({arrival}) => arrival.at >= load.warmUpMilliseconds);
	const messages = after.heartbeats + after.slotCalls - before.heartbeats - before.slotCalls;
	return {
		tasks,
		startAt,
		messagesPerTask: messages / tasks.length,
		validity: latenessTarget(tasks),
	};
};
