import {performance} from 'node:perf_hooks';
import type {EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import type {Cell} from '../cells/cell.js';
import type {CellContent} from '../cells/cell-observation.js';
import {CellWork, type WorkTime, type WorkTotals} from '../cells/work-times.js';
import {
	createTrafficCounter, type KindTraffic, type Traffic, type TrafficCounter,
} from './link-traffic.js';
import {createLoopDelayMeter, type LoopDelay} from './loop-delay.js';
import type {ProcessUsage} from './process-usage.js';

/**
Streams between this daemon and its peers, in either direction.
*/
export type StreamCounts = {
	readonly opened: number;
	/** Streams that ended, and attempts to open one that failed. */
	readonly broken: number;
};

/**
Calls to endpoints.
*/
export type CallCounts = {readonly starts: number; readonly stops: number; readonly polls: number};

/**
Content of a cell at the end of a period, and its work in that period.
*/
export type CellLoadReport = CellContent & {readonly cell: string; readonly work: WorkTotals};

/**
Load of a daemon over a period of about a second.
*/
export type DaemonLoadReport = {
	readonly periodMilliseconds: number;
	readonly processorMilliseconds: number;
	/** Time in which the event loop was not waiting for events. */
	readonly busyMilliseconds: number;
	readonly loopDelay: LoopDelay;
	/** Duration of the longest turn of the event loop; what arrived during it was unread all the while. */
	readonly longestTurnMilliseconds: number;
	readonly heapBytes: number;
	/** Parts of jobs held for callers. */
	readonly held: number;
	readonly sent: Traffic;
	readonly received: Traffic;
	/** Encoded size of the messages sent, by their kind. */
	readonly sentBytes: Readonly<Record<string, number>>;
	readonly streams: StreamCounts;
	readonly calls: CallCounts;
	readonly cells: readonly CellLoadReport[];
};

/**
Observes the load of this daemon.
*/
export type DaemonLoad = {
	/** Called by a repeating timer; reports the load about once a second. */
	readonly recordTick: () => void;
	readonly recordSent: TrafficCounter['record'];
	readonly recordReceived: TrafficCounter['record'];
	readonly recordStreamOpened: () => void;
	readonly recordStreamBroken: () => void;
	/** Returns the same calls, which are counted. */
	readonly countCalls: (calls: EndpointCalls) => EndpointCalls;
};

export type DaemonLoadOptions = {
	/** Interval of the timer that calls `recordTick`. */
	readonly timerMilliseconds: number;
	readonly readUsage: () => ProcessUsage;
	/** Returns the duration of the longest turn of the event loop since the last call, in milliseconds. */
	readonly takeLongestTurn: () => number;
	readonly held: () => number;
	readonly cells: () => ReadonlyArray<Pick<Cell, 'name' | 'observe'>>;
	readonly onReport: (report: DaemonLoadReport) => void;
};

const periodMilliseconds = 1000;
/** Loop delay from which a daemon counts as behind. */
const behindMilliseconds = 100;
const roundingDigits = 2;

const round = (value: number): number => Number(value.toFixed(roundingDigits));

/** Subtracts earlier totals field by field. */
const subtract = <Totals extends Readonly<Record<string, number>>>(totals: Totals, earlier: Totals): Totals =>
	Object.fromEntries(Object.entries(totals).map(([field, value]) => [field, round(value - earlier[field]!)])) as Totals;

/** The bytes of each kind of message beyond those of an earlier count. */
const subtractBytes = (kinds: ReadonlyMap<string, KindTraffic>, earlier: ReadonlyMap<string, KindTraffic>): Readonly<Record<string, number>> =>
	Object.fromEntries([...kinds].map(([kind, {bytes}]) => [kind, bytes - (earlier.get(kind)?.bytes ?? 0)] as const).filter(([, bytes]) => bytes > 0));

const subtractWork = (totals: WorkTotals, earlier: WorkTotals | undefined): WorkTotals => {
	const difference = (work: CellWork): WorkTime => earlier ? subtract(totals[work], earlier[work]) : subtract(totals[work], {count: 0, milliseconds: 0});
	return {
		[CellWork.Admission]: difference(CellWork.Admission),
		[CellWork.Placing]: difference(CellWork.Placing),
		[CellWork.Sharing]: difference(CellWork.Sharing),
		[CellWork.Load]: difference(CellWork.Load),
	};
};

/**
Tells whether a daemon has work or is behind.

@example
```
if (isWorthLogging(report)) {
	log.info({event: FleetEvent.DaemonLoad, ...report});
}
```
*/
export const isWorthLogging = ({held, cells, loopDelay}: DaemonLoadReport): boolean =>
	held > 0
	|| cells.some(({jobs, work}) => jobs > 0 || work[CellWork.Admission].count > 0)
	|| loopDelay.maximumMilliseconds >= behindMilliseconds;

/**
Creates the observation of a daemon's load; its first period starts now.

@example
```
const load = createDaemonLoad({timerMilliseconds: 10, readUsage: readProcessUsage, takeLongestTurn: turns.takeLongest, held: heldJobs.count, cells: cells.all, onReport: metrics.recordLoad});
const timer = setInterval(load.recordTick, 10);
```
*/
export const createDaemonLoad = (options: DaemonLoadOptions): DaemonLoad => {
	const sent = createTrafficCounter();
	const received = createTrafficCounter();
	let streams: StreamCounts = {opened: 0, broken: 0};
	const calls = {starts: 0, stops: 0, polls: 0};
	let periodStartedAt = performance.now();
	const delayMeter = createLoopDelayMeter(options.timerMilliseconds, periodStartedAt);
	/** Work of each cell up to the last report. A cell that is claimed anew counts from zero. */
	const workReported = new WeakMap<Pick<Cell, 'observe'>, WorkTotals>();

	const readTotals = () => ({
		usage: options.readUsage(), sent: sent.totals(), sentKinds: sent.kinds(), received: received.totals(), streams, calls: {...calls},
	});

	let earlier = readTotals();

	const reportCell = (cell: Pick<Cell, 'name' | 'observe'>): CellLoadReport => {
		const {work, ...content} = cell.observe();
		const before = workReported.get(cell);
		workReported.set(cell, work);
		return {cell: cell.name, ...content, work: subtractWork(work, before)};
	};

	const takeReport = (now: number): DaemonLoadReport => {
		const totals = readTotals();
		const {heapBytes, ...used} = totals.usage;
		const {meanMilliseconds, maximumMilliseconds} = delayMeter.take();
		const report = {
			periodMilliseconds: round(now - periodStartedAt),
			processorMilliseconds: round(used.processorMilliseconds - earlier.usage.processorMilliseconds),
			busyMilliseconds: round(used.busyMilliseconds - earlier.usage.busyMilliseconds),
			loopDelay: {meanMilliseconds: round(meanMilliseconds), maximumMilliseconds: round(maximumMilliseconds)},
			longestTurnMilliseconds: round(options.takeLongestTurn()),
			heapBytes,
			held: options.held(),
			sent: subtract(totals.sent, earlier.sent),
			received: subtract(totals.received, earlier.received),
			sentBytes: subtractBytes(totals.sentKinds, earlier.sentKinds),
			streams: subtract(totals.streams, earlier.streams),
			calls: subtract(totals.calls, earlier.calls),
			cells: options.cells().map(cell => reportCell(cell)),
		};
		earlier = totals;
		periodStartedAt = now;
		return report;
	};

	return {
		recordTick() {
			const now = performance.now();
			delayMeter.record(now);
			if (now - periodStartedAt >= periodMilliseconds) {
				options.onReport(takeReport(now));
			}
		},
		recordSent: sent.record,
		recordReceived: received.record,
		recordStreamOpened() {
			streams = {...streams, opened: streams.opened + 1};
		},
		recordStreamBroken() {
			streams = {...streams, broken: streams.broken + 1};
		},
		countCalls: endpoint => ({
			async start(request) {
				calls.starts++;
				return endpoint.start(request);
			},
			async stop(request) {
				calls.stops++;
				return endpoint.stop(request);
			},
			async poll(request) {
				calls.polls++;
				return endpoint.poll(request);
			},
			close: endpoint.close,
		}),
	};
};
