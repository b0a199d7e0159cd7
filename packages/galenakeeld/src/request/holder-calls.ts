import {createFault, detailOf, FaultKind} from '@galenakeel/model/request/fault.js';
import type {Submission, SubmissionAnswer} from '@galenakeel/model/request/task.js';
import type {PeerCalls} from '../connection/peer-connection.js';
import {answerFromWire, jobViewFromWire, submissionToWire} from '../connection/peer-encoding.js';
import type {RemoteInspection} from './inspect-submission.js';
import {answerUnknown} from './run-submission.js';
import type {IdentifierHolder} from './submission-identifier.js';

const forwardMarginMilliseconds = 1000;

/**
Calls to the incarnation that holds a submission identifier.
*/
export type HolderCalls = {
	/** Forwards a submission to its holder; never throws. */
	readonly forward: (holder: IdentifierHolder, submission: Submission) => Promise<SubmissionAnswer>;
	/** Reads the state of a submission from its holder, and cancels it on request. @throws A fault of kind `HolderUnreachable`. */
	readonly inspect: RemoteInspection;
};

/**
Creates the calls to holders.

@param callsOf Returns the calls to an instance by its name; `undefined` when it is not listed.
@param callTimeoutMilliseconds Time limit of an inspection. A forwarded submission has its own deadline plus a margin.
*/
export const createHolderCalls = (callsOf: (instance: string) => PeerCalls | undefined, callTimeoutMilliseconds: number): HolderCalls => {
	const reach = (holder: IdentifierHolder, identifier: string): PeerCalls => {
		const calls = callsOf(holder.instance);
		if (!calls) {
			throw createFault(FaultKind.HolderUnreachable, `the instance "${holder.instance}" that holds "${identifier}" is not listed`);
		}

		return calls;
	};

	return {
		async forward(holder, submission) {
			try {
				const request = submissionToWire(submission, holder.incarnation);
				const reply = await reach(holder, submission.identifier).submit(request, submission.deadlineMilliseconds + forwardMarginMilliseconds);
				return answerFromWire(reply);
			} catch (error) {
				return answerUnknown(FaultKind.HolderUnreachable, detailOf(error));
			}
		},
		async inspect(holder, identifier, shouldCancel) {
			const request = {identifier, incarnation: holder.incarnation, cancel: shouldCancel};
			return jobViewFromWire(await reach(holder, identifier).inspect(request, callTimeoutMilliseconds));
		},
	};
};
