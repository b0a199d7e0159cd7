import {performance} from 'node:perf_hooks';
import type {ActiveRun, EndpointReport} from '@galenakeel/model/connection/endpoint-calls.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {EndpointCooldowns} from './endpoint-cooldowns.js';
import {EndpointDecision} from './endpoint-decision.js';
import type {EndpointLeases} from './endpoint-leases.js';
import type {SentPoll} from './endpoint-polls.js';
import type {EndpointReachability} from './endpoint-reachability.js';
import {RunState, type Run} from './endpoint-run.js';
import type {EndpointRuns} from './endpoint-runs.js';
import type {OrphanedRuns} from './orphaned-runs.js';
import {ReportOrder, type ReportOrders} from './report-order.js';
import type {ReportedRuns} from './reported-runs.js';

/**
The reports of an endpoint, from one incarnation to the next.
*/
export type EndpointReports = {
	/** Token of the last answered poll; since then the endpoint rejects requests with lower tokens. 0 after the endpoint has rejected a token, until a poll that was sent later is answered. */
	readonly polledToken: () => number;
	/** Records that the endpoint has accepted a higher token, so that another owner may have started runs and extended leases there. */
	readonly recordFenced: () => void;
	/** Takes a report that has just arrived, unless a newer one has overtaken it. */
	readonly onReport: (report: EndpointReport, poll: SentPoll) => void;
};

export type EndpointReportsOptions = {
	readonly entry: () => EndpointEntry;
	readonly reportOrders: ReportOrders;
	readonly reachability: Pick<EndpointReachability, 'isReachable' | 'isSilent' | 'recordAnswer'>;
	readonly runs: Pick<EndpointRuns, 'all' | 'count'>;
	readonly orphans: Pick<OrphanedRuns, 'active'>;
	readonly reportedRuns: Pick<ReportedRuns, 'onEnded' | 'reconcile' | 'reset'>;
	readonly cooldowns: Pick<EndpointCooldowns, 'reset'>;
	/** Leases of the present incarnation. */
	readonly leases: () => Pick<EndpointLeases, 'observe' | 'recordOtherOwner'>;
	/** Begins the leases of another incarnation. */
	readonly beginLeases: () => void;
	/** Whether a run of an earlier owner is active. */
	readonly hasOrphans: () => boolean;
	/** Whether orphaned runs of an earlier owner may be stopped. */
	readonly isSettled: () => boolean;
	readonly stopUntilEnded: (run: Run) => Promise<void>;
	readonly stopOrphan: (orphan: ActiveRun) => Promise<void>;
	/** Ends the wait for the answer of an earlier incarnation. */
	readonly abandonPoll: () => void;
	/** Called after each change of capacity. */
	readonly onChange: () => void;
	/** Called when a report lists runs, or ends of runs, that this owner has not started. */
	readonly onOrphans: () => void;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
};

/**
Creates the reports of an endpoint that hasn't reported yet.

@example
```
const reports = createEndpointReports(options);
reports.onReport(reply.report, {polledAt, token});
reports.polledToken(); // => token
```
*/
export const createEndpointReports = (options: EndpointReportsOptions): EndpointReports => {
	const {entry, reportOrders, reachability, runs, orphans, reportedRuns, hasOrphans, onDecision} = options;
	let polledToken = 0;
	/** Monotonic milliseconds. */
	let fencedAt = Number.NEGATIVE_INFINITY;

	/**
	Begins anew with another incarnation, which knows nothing of before. A run that it doesn't list is lost with the earlier one, unless the start is still to be carried out: then it has to be stopped here too.
	*/
	const beginIncarnation = (earlierStartedAt: number, report: EndpointReport): void => {
		onDecision(EndpointDecision.OtherIncarnation, {
			endpoint: entry().identifier, startedAt: earlierStartedAt, nextStartedAt: reportOrders.startedAt(), runs: runs.count(), runsThere: report.active.length,
		});
		options.beginLeases();
		reportedRuns.reset();
		options.cooldowns.reset();
		for (const run of runs.all()) {
			if (!run.isAccepted && run.state === RunState.Stopping) {
				run.state = RunState.Starting;
				void options.stopUntilEnded(run);
			}
		}

		options.abandonPoll();
	};

	return {
		polledToken: () => polledToken,
		recordFenced() {
			polledToken = 0;
			fencedAt = performance.now();
			options.leases().recordOtherOwner();
		},
		onReport(report, {polledAt, token}) {
			const earlierStartedAt = reportOrders.startedAt();
			const order = reportOrders.record({startedAt: report.startedAt ?? entry().startedAt, clockMilliseconds: report.clockMilliseconds}, polledAt);
			if (order === ReportOrder.Overtaken) {
				return;
			}

			if (order === ReportOrder.OtherIncarnation) {
				beginIncarnation(earlierStartedAt, report);
				polledToken = 0;
			}

			if (polledToken < token && polledAt >= fencedAt) {
				polledToken = token;
				options.leases().recordOtherOwner();
				options.onChange();
			}

			const wasUnavailable = !reachability.isReachable() || hasOrphans();
			options.leases().observe(report.clockMilliseconds);
			if (reachability.isSilent()) {
				onDecision(EndpointDecision.Regained, {endpoint: entry().identifier});
			}

			reachability.recordAnswer();
			let hasEarlierEnds = false;
			for (const ended of report.ended) {
				hasEarlierEnds = reportedRuns.onEnded(ended) || hasEarlierEnds;
			}

			reportedRuns.reconcile(report.active, polledAt);
			if (hasOrphans() || hasEarlierEnds) {
				options.onOrphans();
			}

			if (options.isSettled()) {
				for (const orphan of orphans.active()) {
					void options.stopOrphan(orphan);
				}
			}

			if (wasUnavailable) {
				options.onChange();
			}
		},
	};
};
