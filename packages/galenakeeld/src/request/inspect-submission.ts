import {detailOf, FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import type {SubmissionAnswer} from '@galenakeel/model/request/task.js';
import {SubmissionState, type SubmissionEntry, type SubmissionRegister} from '../process/submission-register.js';
import {answerUnknown} from './run-submission.js';
import {IdentifierKind, parseIdentifier, type IdentifierHolder} from './submission-identifier.js';

/**
The progress of a job that has no answer yet.
*/
export type JobProgress = {
	readonly state: SubmissionState;
	/** Number of all tasks, of those sent to an endpoint, and of those with an answer. */
	readonly tasks: number;
	readonly started: number;
	readonly finished: number;
};

/**
The state of a job as a caller sees it.
*/
export type JobView
	= | {readonly isAnswered: true; readonly answer: SubmissionAnswer}
		| ({readonly isAnswered: false} & JobProgress);

/**
Reads the state of a submission from its holder, and cancels it if `shouldCancel`; `undefined` when the holder does not keep it.
*/
export type RemoteInspection = (holder: IdentifierHolder, identifier: string, shouldCancel: boolean) => Promise<JobView | undefined>;

const viewOf = async (entry: SubmissionEntry): Promise<JobView> => {
	const {state, tasks, started, finished} = entry;
	if (state === SubmissionState.Answered) {
		return {isAnswered: true, answer: await entry.answer};
	}

	return {
		isAnswered: false, state, tasks, started, finished,
	};
};

/**
Returns the state of a submission that this incarnation holds, and cancels it if `shouldCancel`; `undefined` when it is not kept here.
*/
export const inspectHeld = async (identifier: string, shouldCancel: boolean, register: SubmissionRegister): Promise<JobView | undefined> => {
	const entry = register.entryOf(identifier);
	if (!entry) {
		return undefined;
	}

	if (shouldCancel) {
		entry.cancellation.abort();
	}

	return viewOf(entry);
};

/**
The state and functions of the process that an inspection uses.
*/
export type InspectionContext = {
	readonly self: IdentifierHolder;
	readonly register: SubmissionRegister;
	/** Reads which incarnation claimed an identifier. */
	readonly findHolder: (identifier: string) => Promise<IdentifierHolder | undefined>;
	readonly inspectRemote: RemoteInspection;
};

/**
Reads the state of a submission from the incarnation that holds it, and cancels it if `shouldCancel`.

@returns The state of the submission, or an answer whose outcome is unknown when no holder can report it; never throws.

@example
```
const view = await inspectSubmission('sheet-2041', false, {self, register, findHolder, inspectRemote});
```
*/
export const inspectSubmission = async (identifier: string, shouldCancel: boolean, context: InspectionContext): Promise<JobView> => {
	try {
		return await inspectAnywhere(identifier, shouldCancel, context);
	} catch (error) {
		return {isAnswered: true, answer: answerUnknown(isFault(error) ? error.name : FaultKind.Internal, detailOf(error))};
	}
};

const inspectAnywhere = async (identifier: string, shouldCancel: boolean, context: InspectionContext): Promise<JobView> => {
	const held = await inspectHeld(identifier, shouldCancel, context.register);
	if (held) {
		return held;
	}

	const parsed = parseIdentifier(identifier);
	const holder = parsed?.kind === IdentifierKind.Minted ? parsed.holder : await context.findHolder(identifier);
	if (!holder) {
		return {isAnswered: true, answer: answerUnknown(FaultKind.UnknownIdentifier, `no instance holds "${identifier}"`)};
	}

	const view = holder.incarnation === context.self.incarnation ? undefined : await context.inspectRemote(holder, identifier, shouldCancel);
	return view ?? {isAnswered: true, answer: answerUnknown(FaultKind.AnswerDiscarded, `the holder of "${identifier}" no longer keeps it`)};
};
