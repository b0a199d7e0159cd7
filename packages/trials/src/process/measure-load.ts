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
An arrival after the warm-up, with what the caller saw and what the ideal would have given.
*/
export type MeasuredTask = ArrivalResult & {
	readonly arrival: Arrival;
	/** Response of the one-queue ideal, in milliseconds. */
	readonly idealMilliseconds: number;
};

/**
What a run of load gave.
*/
export type LoadMeasurement = {
	readonly tasks: readonly MeasuredTask[];
	/** Wall-clock time of the run's start, in milliseconds since the epoch. */
	readonly startAt: number;
	readonly messagesPerTask: number;
	/** Bounds the lateness of the load generators; the run is invalid when it is missed. */
	readonly validity: BenchTarget;
};

const latenessLimitMilliseconds = 5;

/**
Bounds the lateness of the load generators; a run that misses it is invalid.
*/
export const latenessTarget = (results: ReadonlyArray<Pick<ArrivalResult, 'latenessMilliseconds'>>): BenchTarget =>
	atMost('p99 lateness of the load generators, ms', latenessLimitMilliseconds, percentile(results.map(({latenessMilliseconds}) => latenessMilliseconds), 0.99));

/**
Pairs the measured arrivals with the ideal as if the ideal had served them.
*/
export const measureIdeal = ({arrivals, ideal, warmUpMilliseconds}: PlannedLoad): readonly MeasuredTask[] => arrivals
	.map((arrival, position) => ({
		arrival, idealMilliseconds: ideal[position]!, responseMilliseconds: ideal[position]!, outcome: Outcome.Complete, status: 200, latenessMilliseconds: 0,
	}))
	.filter(({arrival}) => arrival.at >= warmUpMilliseconds);

/**
How load is sent.
*/
export type LoadOptions = {
	readonly injectFaults?: (startAt: number) => Promise<void>;
	readonly addresses?: readonly string[];
	readonly deadlineMilliseconds?: number;
};

/**
Sends planned load to a fleet and measures what comes after the warm-up.

@param options.disturb Called once with the wall-clock time of the run's start, to bring faults about.
@param options.addresses Where callers connect; the daemons' callers ports when absent.
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
