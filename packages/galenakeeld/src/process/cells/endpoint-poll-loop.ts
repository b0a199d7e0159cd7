import {
	CallOutcome, type EndpointCalls, type EndpointReport, type PollReply,
} from '@galenakeel/model/connection/endpoint-calls.js';
import {awaitRetry} from './await-retry.js';
import {EndpointDecision} from './endpoint-decision.js';
import type {EndpointPolls, SentPoll} from './endpoint-polls.js';
import type {EndpointReachability} from './endpoint-reachability.js';
import type {EndpointRuns} from './endpoint-runs.js';

/**
The task of an endpoint.
*/
export type EndpointPollLoop = {
	/** Polls the endpoint until it is closed. */
	readonly run: () => Promise<void>;
};

export type EndpointPollLoopOptions = {
	readonly calls: Pick<EndpointCalls, 'close'>;
	readonly polls: Pick<EndpointPolls, 'pollUntilEnd'>;
	readonly reachability: Pick<EndpointReachability, 'isBackingOff' | 'isSilent' | 'recordMissedPoll'>;
	readonly runs: Pick<EndpointRuns, 'count' | 'settleAllAsLost'>;
	/** Identifier of the endpoint. */
	readonly identifier: () => string;
	/** Whether every lease that was sent has expired. */
	readonly haveLeasesExpired: () => boolean;
	readonly isClosed: () => boolean;
	readonly onReport: (report: EndpointReport, poll: SentPoll) => void;
	/** Called when the endpoint has rejected a token, since it has accepted a higher one. */
	readonly onFenced: (token: number) => void;
	/** Called when an endpoint with another identifier has answered. */
	readonly onOtherEndpoint: () => void;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
};

/**
Creates the task of an endpoint.

@example
```
const loop = createEndpointPollLoop(options);
void loop.run();
```
*/
export const createEndpointPollLoop = (options: EndpointPollLoopOptions): EndpointPollLoop => {
	const {calls, polls, reachability, runs, onDecision} = options;

	const onMissedPoll = ({outcome, token}: PollReply & SentPoll): void => {
		if (outcome === CallOutcome.OtherEndpoint) {
			options.onOtherEndpoint();
		} else if (outcome === CallOutcome.Fenced) {
			options.onFenced(token);
		}

		const wasSilent = reachability.isSilent();
		reachability.recordMissedPoll(outcome === CallOutcome.Unknown);
		if (!reachability.isSilent()) {
			return;
		}

		if (!wasSilent) {
			onDecision(EndpointDecision.Silent, {endpoint: options.identifier(), outcome, runs: runs.count()});
		}

		if (options.haveLeasesExpired()) {
			runs.settleAllAsLost();
		}
	};

	return {
		async run() {
			while (!options.isClosed()) {
				const reply = await polls.pollUntilEnd();
				if (options.isClosed()) {
					break;
				}

				if (reply?.report) {
					options.onReport(reply.report, reply);
				} else if (reply) {
					onMissedPoll(reply);
					if (reachability.isBackingOff()) {
						await awaitRetry();
					}
				}
			}

			calls.close();
		},
	};
};
