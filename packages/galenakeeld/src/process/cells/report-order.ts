import {performance} from 'node:perf_hooks';
import type {EndpointReport} from '@galenakeel/model/connection/endpoint-calls.js';

/**
What a report is to those before it.
*/
export enum ReportOrder {
	/** It is newer than those before it, and of the same incarnation. */
	Newer = 'newer',
	/** A newer report has overtaken it on another connection. */
	Overtaken = 'overtaken',
	/** It is the first of another incarnation. */
	OtherIncarnation = 'other-incarnation',
}

/**
What orders a report: the start of the incarnation that answered, in Unix milliseconds, and its monotonic clock.
*/
export type OrderedReport = Pick<EndpointReport, 'clockMilliseconds'> & {readonly startedAt: number};

/**
The order of the reports of an endpoint, and the incarnation that reported last.
*/
export type ReportOrders = {
	/** Start of the present incarnation, in Unix milliseconds. */
	readonly startedAt: () => number;
	/**
	Classifies a report that has just arrived, and remembers it unless it was overtaken.

	@param polledAt Monotonic milliseconds at which its poll was sent.
	*/
	readonly record: (report: OrderedReport, polledAt: number) => ReportOrder;
};

/**
Creates the order of an endpoint that hasn't reported yet.

Reports of one incarnation are ordered by its monotonic clock. The start times of incarnations don't order them, since the time of day may be set back: another incarnation is a later one if its poll was sent after the present one had reported.

@param firstStartedAt Start of the incarnation that the platform lists, in Unix milliseconds.

@example
```
const orders = createReportOrders(1764800000000);
orders.record({startedAt: 1764800000000, clockMilliseconds: 500}, 10); // => ReportOrder.Newer
orders.record({startedAt: 1764800000000, clockMilliseconds: 400}, 5); // => ReportOrder.Overtaken
```
*/
export const createReportOrders = (firstStartedAt: number): ReportOrders => {
	let startedAt = firstStartedAt;
	/** Monotonic milliseconds at which the present incarnation reported first and last. */
	let firstReportAt = Number.NEGATIVE_INFINITY;
	let lastReportAt = Number.NEGATIVE_INFINITY;
	let clockMilliseconds = Number.NEGATIVE_INFINITY;

	return {
		startedAt: () => startedAt,
		record(report, polledAt) {
			const now = performance.now();
			const isOther = report.startedAt !== startedAt;
			const isOvertaken = isOther ? polledAt < firstReportAt : report.clockMilliseconds < clockMilliseconds && polledAt < lastReportAt;
			if (isOvertaken) {
				return ReportOrder.Overtaken;
			}

			startedAt = report.startedAt;
			firstReportAt = isOther || firstReportAt === Number.NEGATIVE_INFINITY ? now : firstReportAt;
			lastReportAt = now;
			clockMilliseconds = report.clockMilliseconds;
			return isOther ? ReportOrder.OtherIncarnation : ReportOrder.Newer;
		},
	};
};
