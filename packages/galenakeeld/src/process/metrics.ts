import {RecordStepKind} from '@galenakeel/model/process/request-record.js';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {ObservedEnd, ObservedStep} from '../request/request-observer.js';
import {ObservedKind} from './observed-kind.js';
import {createCounters} from './counters.js';
import {createPercentiles} from './percentiles.js';
import type {MetricFamily} from './prometheus-text.js';

const servicesWithPercentiles = 64;

/**
Metrics that are updated when an event occurs: counters and durations.
*/
export type Metrics = {
	readonly countStep: (service: string, step: ObservedStep) => void;
	readonly countEnd: (kind: ObservedKind, service: string, end: ObservedEnd, durationMilliseconds: number) => void;
	/** Counts a message to a peer by the name of its call, and its encoded length in bytes. */
	readonly countPeerMessage: (call: string, bytes: number) => void;
	readonly countPlatformCall: (call: string, outcome: string) => void;
	readonly families: () => readonly MetricFamily[];
};

/**
Creates metrics without samples.

@example
```
const metrics = createMetrics();
metrics.countPlatformCall('read-rows', PlatformOutcome.Done);
const text = encodeMetrics(metrics.families());
```
*/
export const createMetrics = (): Metrics => {
	const requests = createCounters('galenakeel_requests_total', 'Single requests without an identifier that were answered.', ['service', 'outcome']);
	const jobs = createCounters('galenakeel_jobs_total', 'Jobs, and requests with an identifier, that were answered.', ['service', 'outcome']);
	const refusals = createCounters('galenakeel_refusals_total', 'Requests and jobs answered as not run.', ['fault']);
	const starts = createCounters('galenakeel_task_starts_total', 'Tasks whose first byte went out to an endpoint.', ['service']);
	const retries = createCounters('galenakeel_task_retries_total', 'Tasks tried again.', ['service']);
	const failures = createCounters('galenakeel_attempts_failed_total', 'Attempts at a task that ended without a whole answer.', ['service', 'fault']);
	const claims = createCounters('galenakeel_claims_total', 'Claims of identifiers, by result.', ['result']);
	const forwards = createCounters('galenakeel_forwards_total', 'Submissions handed to the holder of their identifier.', []);
	const messages = createCounters('galenakeel_peer_messages_sent_total', 'Messages sent to peers, by call.', ['call']);
	const bytes = createCounters('galenakeel_peer_bytes_sent_total', 'Bytes of messages sent to peers, without framing, by call.', ['call']);
	const platformCalls = createCounters('galenakeel_platform_calls_total', 'Calls to the platform, by outcome.', ['call', 'outcome']);
	const bound = {services: servicesWithPercentiles};
	const durations = createPercentiles('galenakeel_request_seconds', 'Time from a request or job to its answer.', bound);
	const waits = createPercentiles('galenakeel_slot_wait_seconds', 'Time that a task waited for a slot.', bound);
	const runs = createPercentiles('galenakeel_task_run_seconds', 'Time from the grant of a slot to the endpoint\'s answer.', bound);
	const all = [requests, jobs, refusals, starts, retries, failures, claims, forwards, messages, bytes, platformCalls, durations, waits, runs];

	return {
		countStep(service, {kind, fault, detail, milliseconds}) {
			switch (kind) {
				case RecordStepKind.SlotGranted: {
					waits.record(service, milliseconds!);
					break;
				}

				case RecordStepKind.Sent: {
					starts.add([service]);
					break;
				}

				case RecordStepKind.Answered: {
					runs.record(service, milliseconds!);
					break;
				}

				case RecordStepKind.AttemptFailed: {
					failures.add([service, fault ?? FaultKind.Internal]);
					break;
				}

				case RecordStepKind.Retried: {
					retries.add([service]);
					break;
				}

				case RecordStepKind.Claimed: {
					claims.add([detail ?? '']);
					break;
				}

				case RecordStepKind.Forwarded: {
					forwards.add([]);
					break;
				}

				case RecordStepKind.Accepted:
				case RecordStepKind.Joined:
					// Counted by `countEnd`.
			}
		},
		countEnd(kind, service, {outcome, fault}, durationMilliseconds) {
			(kind === ObservedKind.Job ? jobs : requests).add([service, outcome]);
			durations.record(service, durationMilliseconds);
			if (outcome === Outcome.NotRun) {
				refusals.add([fault ?? FaultKind.Internal]);
			}
		},
		countPeerMessage(call, length) {
			messages.add([call]);
			bytes.add([call], length);
		},
		countPlatformCall(call, outcome) {
			platformCalls.add([call, outcome]);
		},
		families: () => all.map(metric => metric.family()),
	};
};
