import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Arrival, ArrivalResult} from '../request/arrival.js';
import {atMost, type BenchTarget} from '../version/bench-line.js';
import {percentile} from '../version/percentile.js';
import type {PlannedLoad} from '../version/planned-load.js';
import {benchService, countMessages, deadlineMilliseconds} from './bench-fleet.js';
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
Pairs the measured arrivals with the ideal as if the ideal had served them.
*/
export const measureIdeal = ({arrivals, ideal, warmUpMilliseconds}: PlannedLoad): readonly MeasuredTask[] => arrivals
	.map((arrival, position) => ({
		arrival, idealMilliseconds: ideal[position]!, responseMilliseconds: ideal[position]!, outcome: Outcome.Complete, status: 200, latenessMilliseconds: 0,
	}))
	.filter(({arrival}) => arrival.at >= warmUpMilliseconds);

// A task without a whole answer counts with its deadline, so that refusing work makes no figure better.
const chargeResponse = (result: ArrivalResult): ArrivalResult =>
	result.outcome === Outcome.Complete ? result : {...result, responseMilliseconds: deadlineMilliseconds};

/**
Sends planned load to a fleet and measures what comes after the warm-up.

@param disturb Called once with the wall-clock time of the run's start, to bring faults about.
*/
export const measureLoad = async (fleet: Fleet, load: PlannedLoad, disturb: (startAt: number) => Promise<void> = async () => undefined): Promise<LoadMeasurement> => {
	const {startAt, results} = startLoad({
		addresses: fleet.daemons.map(({callers}) => callers), path: `/v1/services/${benchService}/sheet`, arrivals: load.arrivals, deadlineMilliseconds,
	});
	void disturb(startAt);
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
		tasks: tasks.map(task => ({...task, ...chargeResponse(task)})),
		startAt,
		messagesPerTask: messages / tasks.length,
		validity: atMost('p99 lateness of the load generators, ms', latenessLimitMilliseconds, percentile(tasks.map(({latenessMilliseconds}) => latenessMilliseconds), 0.99)),
	};
};
