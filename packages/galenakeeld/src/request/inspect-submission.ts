import {detailOf, FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import type {SubmissionAnswer} from '@galenakeel/model/request/task.js';
import {SubmissionState, type SubmissionEntry, type SubmissionRegister} from '../process/submission-register.js';
import {answerUnknown} from './run-submission.js';
import {IdentifierKind, parseIdentifier, type IdentifierHolder} from './submission-identifier.js';

/**
How far a job without an answer has come.
*/
export type JobProgress = {
	readonly state: SubmissionState;
	/** Number of tasks in all, of those sent to an endpoint, and of those with an answer. */
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
What is learned of a submission at its holder; `undefined` when the holder does not keep it.
*/
export type RemoteInspection = (holder: IdentifierHolder, identifier: string, isCancelled: boolean) => Promise<JobView | undefined>;

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
Looks at a submission that this incarnation holds, or cancels it; `undefined` when it is not kept here.
*/
export const inspectHeld = async (identifier: string, isCancelled: boolean, register: SubmissionRegister): Promise<JobView | undefined> => {
	const entry = register.entryOf(identifier);
	if (!entry) {
		return undefined;
	}

	if (isCancelled) {
		entry.cancellation.abort();
	}

	return viewOf(entry);
};

/**
What an inspection needs from the process.
*/
export type InspectionContext = {
	readonly self: IdentifierHolder;
	readonly register: SubmissionRegister;
	/** Reads who claimed an identifier. */
	readonly findHolder: (identifier: string) => Promise<IdentifierHolder | undefined>;
	readonly inspectRemote: RemoteInspection;
};

/**
Looks at a submission wherever it is held, or cancels it.

@returns The state of the submission, or an answer whose outcome is unknown when nothing can be learned; never throws.

@example
```
const view = await inspectSubmission('sheet-2041', false, {self, register, findHolder, inspectRemote});
```
*/
export const inspectSubmission = async (identifier: string, isCancelled: boolean, context: InspectionContext): Promise<JobView> => {
	try {
		return await inspectAnywhere(identifier, isCancelled, context);
	} catch (error) {
		return {isAnswered: true, answer: answerUnknown(isFault(error) ? error.name : FaultKind.Internal, detailOf(error))};
	}
};

const inspectAnywhere = async (identifier: string, isCancelled: boolean, context: InspectionContext): Promise<JobView> => {
	const held = await inspectHeld(identifier, isCancelled, context.register);
	if (held) {
		return held;
	}

	const parsed = parseIdentifier(identifier);
	const holder = parsed?.kind === IdentifierKind.Minted ? parsed.holder : await context.findHolder(identifier);
	if (!holder) {
		return {isAnswered: true, answer: answerUnknown(FaultKind.UnknownIdentifier, `no instance holds "${identifier}"`)};
	}

	const view = holder.incarnation === context.self.incarnation ? undefined : await context.inspectRemote(holder, identifier, isCancelled);
	return view ?? {isAnswered: true, answer: answerUnknown(FaultKind.AnswerDiscarded, `the holder of "${identifier}" no longer keeps it`)};
};
