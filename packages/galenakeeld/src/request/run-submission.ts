import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {RecordStepKind} from '@galenakeel/model/process/request-record.js';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer, TaskAnswer} from '@galenakeel/model/request/task.js';
import {ClaimState, type ClaimResult} from '../process/claim-writer.js';
import {SubmissionState, type SubmissionEntry, type SubmissionRegister} from '../process/submission-register.js';
import type {ServiceVersion} from '../version/service-version.js';
import {ObservedKind} from '../process/observed-kind.js';
import {SpanName} from '../process/span-name.js';
import {bufferAnswer} from './buffer-answer.js';
import type {Observe, RequestObserver} from './request-observer.js';
import {runTask, type TaskContext} from './run-task.js';
import {fingerprintOf} from './submission-fingerprint.js';
import {IdentifierKind, parseIdentifier, type IdentifierHolder} from './submission-identifier.js';
import type {OpenTrace} from './trace-scope.js';

/**
The state and functions of the process that a submission uses.
*/
export type SubmissionContext = {
	readonly self: IdentifierHolder;
	readonly register: SubmissionRegister;
	readonly claim: (identifier: string, fingerprint: string, deadlineAt: number) => Promise<ClaimResult>;
	/** Retention time of a claim, in milliseconds. */
	readonly claimRetentionMilliseconds: number;
	/** Maximum size of one task's answer that is buffered. */
	readonly maximumAnswerBytes: number;
	/** Forwards a submission to its holder; never throws. */
	readonly forward: (holder: IdentifierHolder, submission: Submission) => Promise<SubmissionAnswer>;
	readonly findVersion: (service: string) => ServiceVersion | undefined;
	/** Refuses a submission that can't be served in time; `undefined` admits it. */
	readonly admit: (version: ServiceVersion, submission: Submission) => SubmissionAnswer | undefined;
	readonly taskContext: (version: ServiceVersion) => Pick<TaskContext, 'withSlot' | 'send' | 'report' | 'mayRetry'>;
	readonly observe: Observe;
	readonly openTrace: OpenTrace;
	/** Records that a repeated submission joined the one that is kept. */
	readonly noteRepeat: (identifier: string) => void;
};

/**
Creates the answer to a submission of which no task was sent.
*/
export const refuse = (fault: FaultKind, detail: string, retryAfterMilliseconds?: number): SubmissionAnswer => ({
	outcome: Outcome.NotRun, answers: [], fault, detail, ...(retryAfterMilliseconds !== undefined && {retryAfterMilliseconds}),
});

/**
Creates the answer to a submission when this instance doesn't know whether it ran.
*/
export const answerUnknown = (fault: FaultKind, detail: string): SubmissionAnswer => ({
	outcome: Outcome.OutcomeUnknown, answers: [], fault, detail,
});

const outcomeOf = (answers: readonly TaskAnswer[]): Outcome => {
	if (answers.every(answer => answer.outcome === Outcome.Complete)) {
		return Outcome.Complete;
	}

	return answers.every(answer => answer.outcome === Outcome.NotRun) ? Outcome.NotRun : Outcome.Failed;
};

const combine = (answers: readonly TaskAnswer[]): SubmissionAnswer => {
	const incomplete = answers.find(answer => answer.outcome !== Outcome.Complete);
	return {
		outcome: outcomeOf(answers),
		answers,
		...(incomplete?.fault && {fault: incomplete.fault}),
		...(incomplete?.detail !== undefined && {detail: incomplete.detail}),
	};
};

/**
A submission that this instance is processing.
*/
type Arrival = {
	readonly submission: Submission;
	readonly fingerprint: string;
	/** Monotonic milliseconds, counted from the arrival, so that a pause of the process counts towards the deadline. */
	readonly deadlineAt: number;
	readonly observer: RequestObserver;
};

const runTasks = async ({submission, deadlineAt, observer}: Arrival, version: ServiceVersion, entry: SubmissionEntry, context: SubmissionContext): Promise<SubmissionAnswer> => {
	const span = context.openTrace(submission.traceparent).begin(SpanName.HolderRun, {job: submission.identifier, service: submission.service, tasks: submission.tasks.length});
	const shared = context.taskContext(version);
	const runOne = async (task: Submission['tasks'][number]): Promise<TaskAnswer> => {
		const answer = await runTask(task, {
			...shared,
			version,
			team: submission.team,
			deadlineAt,
			signal: entry.cancellation.signal,
			onFirstStart() {
				entry.started++;
				entry.state = SubmissionState.Running;
			},
			note: observer.note,
			trace: span,
		});
		const held = await bufferAnswer(answer, context.maximumAnswerBytes);
		entry.finished++;
		return held;
	};

	const answer = combine(await Promise.all(submission.tasks.map(async task => runOne(task))));
	span.end({outcome: answer.outcome}, answer.fault);
	return answer;
};

const mismatched = (identifier: string): SubmissionAnswer =>
	answerUnknown(FaultKind.IdentifierMismatch, `"${identifier}" was used for another submission, which may have run; this one started nothing`);

const joinEntry = async (entry: SubmissionEntry, fingerprint: string): Promise<SubmissionAnswer> =>
	entry.fingerprint === fingerprint ? entry.answer : mismatched(entry.identifier);

const discarded = (identifier: string): SubmissionAnswer =>
	answerUnknown(FaultKind.AnswerDiscarded, `"${identifier}" was taken before and its answer is no longer kept`);

/**
Runs a submission that this incarnation holds, or joins the run already in progress or ended.

@param permit Single-use permit to run the submission: the minted identifier, or the nonce of the claim.
*/
const runHeld = async (arrival: Arrival, permit: string, context: SubmissionContext): Promise<SubmissionAnswer> => {
	const {submission, fingerprint} = arrival;
	const {identifier, tasks} = submission;
	const existing = context.register.entryOf(identifier);
	if (existing) {
		return joinEntry(existing, fingerprint);
	}

	if (!context.register.redeem(permit)) {
		return discarded(identifier);
	}

	const entry = context.register.begin({
		identifier, fingerprint, permit, tasks: tasks.length,
	}, async begun => {
		const version = context.findVersion(submission.service);
		if (!version) {
			return refuse(FaultKind.UnknownService, `no document in force names the service "${submission.service}"`);
		}

		return context.admit(version, submission) ?? runTasks(arrival, version, begun, context);
	});
	return entry.answer;
};

/**
Forwards a submission to another incarnation, unless that is an earlier incarnation of this instance, which has ended.
*/
const forwardTo = async (holder: IdentifierHolder, {submission, deadlineAt, observer}: Arrival, context: SubmissionContext): Promise<SubmissionAnswer> => {
	if (holder.instance === context.self.instance) {
		return answerUnknown(FaultKind.HolderUnreachable, `the run of "${holder.instance}" that holds "${submission.identifier}" has ended`);
	}

	observer.note({kind: RecordStepKind.Forwarded, detail: `to ${holder.instance}, which holds the identifier`});
	const span = context.openTrace(submission.traceparent).begin(SpanName.Forward, {job: submission.identifier, holder: holder.instance});
	const deadlineMilliseconds = Math.max(1, Math.ceil(deadlineAt - performance.now()));
	const answer = await context.forward(holder, {...submission, deadlineMilliseconds, traceparent: span.traceparent});
	span.end({outcome: answer.outcome}, answer.fault);
	return answer;
};

const submitMinted = async (arrival: Arrival, holder: IdentifierHolder, context: SubmissionContext): Promise<SubmissionAnswer> =>
	holder.incarnation === context.self.incarnation
		? runHeld(arrival, arrival.submission.identifier, context)
		: forwardTo(holder, arrival, context);

/** The result of a claim that was not confirmed within the deadline. */
const lateClaim: ClaimResult = {state: ClaimState.Unavailable};

/**
Claims an identifier, and waits for the result no longer than the deadline of the submission.
*/
const claimInTime = async ({submission, fingerprint, deadlineAt}: Arrival, context: SubmissionContext): Promise<ClaimResult> => {
	const stop = new AbortController();
	const giveUp = async (): Promise<ClaimResult> => {
		await sleep(Math.max(0, deadlineAt - performance.now()), undefined, {signal: stop.signal});
		return lateClaim;
	};

	try {
		return await Promise.race([context.claim(submission.identifier, fingerprint, deadlineAt), giveUp()]);
	} finally {
		stop.abort();
	}
};

const ownClaim = 'ours';

const describeClaim = (result: ClaimResult, self: IdentifierHolder): string =>
	result.state === ClaimState.Held && result.claim.incarnation === self.incarnation ? ownClaim : result.state;

const submitChosen = async (arrival: Arrival, context: SubmissionContext): Promise<SubmissionAnswer> => {
	const {identifier, deadlineMilliseconds} = arrival.submission;
	const result = await claimInTime(arrival, context);
	arrival.observer.note({kind: RecordStepKind.Claimed, detail: describeClaim(result, context.self)});
	if (result.state === ClaimState.Unavailable) {
		// The claim's row may still be written; a later attempt that finds it may run the submission.
		const limit = result === lateClaim || performance.now() >= arrival.deadlineAt ? ` within the deadline of ${deadlineMilliseconds} ms` : '';
		return answerUnknown(FaultKind.ClaimUnavailable, `the claim of "${identifier}" was not confirmed by the platform${limit}; this attempt started nothing`);
	}

	const {claim} = result;
	if (claim.fingerprint !== arrival.fingerprint) {
		return mismatched(identifier);
	}

	if (claim.incarnation !== context.self.incarnation) {
		return forwardTo(claim, arrival, context);
	}

	// After the retention time the row may be deleted and the identifier claimed by another instance, while a submission that starts late is still running.
	const isNearSweep = Date.now() - claim.claimedAt > context.claimRetentionMilliseconds / 2;
	return isNearSweep && !context.register.entryOf(identifier) ? discarded(identifier) : runHeld(arrival, claim.nonce, context);
};

/**
Runs a submission if this incarnation holds its identifier, and forwards it to the holder otherwise.

@returns The answer of the submission, the same for every repeat, or an answer that states why it is refused or unknown; never throws.

@example
```
const answer = await submit({identifier: 'sheet-2041', service: 'paysheet', …}, context);
```
*/
export const submit = async (submission: Submission, context: SubmissionContext): Promise<SubmissionAnswer> => {
	const parsed = parseIdentifier(submission.identifier);
	if (!parsed) {
		return refuse(FaultKind.BadIdentifier, `"${submission.identifier}" is not a valid identifier`);
	}

	const fingerprint = fingerprintOf(submission);
	const held = context.register.entryOf(submission.identifier);
	if (held) {
		context.noteRepeat(submission.identifier);
		return joinEntry(held, fingerprint);
	}

	const observer = context.observe({
		kind: ObservedKind.Job, identifier: submission.identifier, service: submission.service, detail: `${submission.tasks.length} tasks`,
	});
	const arrival: Arrival = {
		submission, fingerprint, deadlineAt: performance.now() + submission.deadlineMilliseconds, observer,
	};
	const answer = await (parsed.kind === IdentifierKind.Minted
		? submitMinted(arrival, parsed.holder, context)
		: submitChosen(arrival, context));
	const {outcome, fault, detail} = answer;
	observer.end({outcome, ...(fault && {fault}), ...(detail !== undefined && {detail})});
	return answer;
};
