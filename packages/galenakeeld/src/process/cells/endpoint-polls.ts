import {performance} from 'node:perf_hooks';
import {
	CallOutcome, type EndpointCalls, type EndpointReport, type PollReply,
} from '@galenakeel/model/connection/endpoint-calls.js';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {EndpointReachability} from './endpoint-reachability.js';
import {RunState} from './endpoint-run.js';
import type {EndpointRuns} from './endpoint-runs.js';

/**
What is known of a poll since it was sent.
*/
export type SentPoll = {
	/** Monotonic milliseconds. */
	readonly polledAt: number;
	readonly token: number;
};

/**
The polls of an endpoint.
*/
export type EndpointPolls = {
	/** Polls at once, beside the poll that waits for an end. */
	readonly pollNow: () => Promise<void>;
	/** Polls until a run ends; returns undefined once another incarnation has answered on another connection, since the earlier one may never answer. */
	readonly pollUntilEnd: () => Promise<(PollReply & SentPoll) | undefined>;
	/** Ends the wait for the answer of the poll that waits for an end. */
	readonly abandon: () => void;
	/** Extends the leases of runs that were started during an idle poll, until that poll ends. */
	readonly extendDuringIdlePoll: () => void;
};

export type EndpointPollsOptions = {
	readonly calls: Pick<EndpointCalls, 'poll'>;
	readonly runs: Pick<EndpointRuns, 'all' | 'count'>;
	readonly reachability: Pick<EndpointReachability, 'hasAnswered' | 'hasMissedPoll' | 'isSilent'>;
	readonly token: () => number;
	/** Number of the last end that was recorded. */
	readonly acknowledged: () => number;
	/** Token of the last answered poll; since then the endpoint rejects requests with lower tokens. */
	readonly polledToken: () => number;
	/** Whether a run of an earlier owner is active. */
	readonly hasOrphans: () => boolean;
	readonly isClosed: () => boolean;
	/** Returns the end of the next lease, on the endpoint's clock; undefined if a run must not go on. */
	readonly nextLease: () => number | undefined;
	/** Called with the report of a poll beside the one that waits for an end. */
	readonly onReport: (report: EndpointReport, poll: SentPoll) => void;
	/** Called when an endpoint with another identifier has answered such a poll. */
	readonly onOtherEndpoint: () => void;
};

/** Maximum wait of a poll while runs are active: a poll whose answer is lost delays their ends for this time only. */
const busyPollWaitMilliseconds = 250;
/** Maximum wait of a poll while no run is active. */
const idlePollWaitMilliseconds = 1500;
/** Interval at which leases are extended while an idle poll is still waiting. */
const extendMilliseconds = 400;
/** Maximum wait of a poll while a run is active whose end may never be reported. */
const briefPollWaitMilliseconds = 20;

const pollWaitOf = ({reachability, runs, hasOrphans}: Pick<EndpointPollsOptions, 'reachability' | 'runs' | 'hasOrphans'>): number => {
	if (!reachability.hasAnswered() || reachability.hasMissedPoll()) {
		return 0;
	}

	if (hasOrphans() || [...runs.all()].some(({state}) => state === RunState.Stopping)) {
		return briefPollWaitMilliseconds;
	}

	return runs.count() > 0 ? busyPollWaitMilliseconds : idlePollWaitMilliseconds;
};

/**
Creates the polls of an endpoint that was not polled yet.

@example
```
const polls = createEndpointPolls(options);
const reply = await polls.pollUntilEnd();
```
*/
export const createEndpointPolls = (options: EndpointPollsOptions): EndpointPolls => {
	const {calls, runs, reachability, hasOrphans, nextLease} = options;
	/** A poll is waiting that was sent while no run was active, and so extended no lease. */
	let isIdlePollWaiting = false;
	let extendTimer: NodeJS.Timeout | undefined;
	/** Ends the wait for the answer of the poll that waits for an end. */
	let abandonPoll: (() => void) | undefined;

	const poll = async (waitMilliseconds: number): Promise<PollReply & SentPoll> => {
		const token = options.token();
		const polledAt = performance.now();
		// The lease of an endpoint covers all its runs, and those of another owner have to end. So it is extended only where a poll under the present token, which no other owner's start can have followed, has shown none.
		const areRunsKnown = options.polledToken() === token && !hasOrphans();
		const isExtending = runs.count() > 0 && areRunsKnown && !reachability.isSilent();
		const lease = isExtending ? nextLease() : undefined;
		const reply = await calls.poll({
			fencingToken: token,
			acknowledged: options.acknowledged(),
			waitMilliseconds,
			...(lease !== undefined && {leaseEndMilliseconds: lease}),
		});
		return {...reply, polledAt, token};
	};

	const pollNow = async (): Promise<void> => {
		const reply = await poll(0);
		if (options.isClosed()) {
			return;
		}

		if (reply.report) {
			options.onReport(reply.report, reply);
		} else if (reply.outcome === CallOutcome.OtherEndpoint) {
			options.onOtherEndpoint();
		}
	};

	const extendLater = (): void => {
		extendTimer ??= setTimeout(() => {
			extendTimer = undefined;
			if (isIdlePollWaiting && runs.count() > 0 && !options.isClosed()) {
				void pollNow();
				extendLater();
			}
		}, extendMilliseconds);
	};

	return {
		pollNow,
		async pollUntilEnd() {
			const abandoned = createDeferred<undefined>();
			abandonPoll = () => {
				abandoned.resolve(undefined);
			};

			isIdlePollWaiting = runs.count() === 0;
			const reply = await Promise.race([poll(pollWaitOf(options)), abandoned.promise]);
			isIdlePollWaiting = false;
			abandonPoll = undefined;
			return reply;
		},
		abandon() {
			abandonPoll?.();
		},
		extendDuringIdlePoll() {
			if (isIdlePollWaiting) {
				extendLater();
			}
		},
	};
};
