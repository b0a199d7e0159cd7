import {performance} from 'node:perf_hooks';
import {RecordStepKind} from '@galenakeel/model/process/request-record.js';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer, TaskAnswer} from '@galenakeel/model/request/task.js';
import {ClaimState, type ClaimResult} from '../process/claim-writer.js';
import {SubmissionState, type SubmissionEntry, type SubmissionRegister} from '../process/submission-register.js';
import type {ServiceVersion} from '../version/service-version.js';
import {ObservedKind, type Observe, type RequestObserver} from './request-observer.js';
import {runTask, type TaskRun} from './run-task.js';
import {IdentifierKind, parseIdentifier, type IdentifierHolder} from './submission-identifier.js';
import {SpanName, type OpenTrace} from './trace-scope.js';

/**
What a submission needs from the process that takes it.
*/
export type SubmissionRun = {
	readonly self: IdentifierHolder;
	readonly register: SubmissionRegister;
	readonly claim: (identifier: string) => Promise<ClaimResult>;
	/** Hands a submission to its holder; never throws. */
	readonly forward: (holder: IdentifierHolder, submission: Submission) => Promise<SubmissionAnswer>;
	readonly findVersion: (service: string) => ServiceVersion | undefined;
	/** Refuses a submission that can't be served in time; `undefined` admits it. */
	readonly admit: (version: ServiceVersion, submission: Submission) => SubmissionAnswer | undefined;
	readonly taskRun: (version: ServiceVersion) => Pick<TaskRun, 'withSlot' | 'send' | 'report' | 'mayRetry'>;
	readonly observe: Observe;
	readonly openTrace: OpenTrace;
	/** Takes note that a repeat joined the submission that is kept. */
	readonly noteRepeat: (identifier: string) => void;
};

/**
A submission's run together with what observes this submission.
*/
type ObservedRun = SubmissionRun & {readonly observer: RequestObserver};

/**
Creates the answer to a submission of which nothing was sent.
*/
export const refuse = (fault: FaultKind, detail: string, retryAfterMilliseconds?: number): SubmissionAnswer => ({
	outcome: Outcome.NotRun, answers: [], fault, detail, ...(retryAfterMilliseconds !== undefined && {retryAfterMilliseconds}),
});

/**
Creates the answer to a submission of which it is not known here whether it ran.
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

const runTasks = async (submission: Submission, version: ServiceVersion, entry: SubmissionEntry, run: ObservedRun): Promise<SubmissionAnswer> => {
	const span = run.openTrace(submission.traceparent).begin(SpanName.HolderRun, {job: submission.identifier, service: submission.service, tasks: submission.tasks.length});
	const deadlineAt = performance.now() + submission.deadlineMilliseconds;
	const shared = run.taskRun(version);
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
			note: run.observer.note,
			trace: span,
		});
		entry.finished++;
		return answer;
	};

	const answer = combine(await Promise.all(submission.tasks.map(async task => runOne(task))));
	span.end({outcome: answer.outcome}, answer.fault);
	return answer;
};

/**
Runs a submission that this incarnation holds, or joins the run that has begun.
*/
const runHeld = async (submission: Submission, run: ObservedRun): Promise<SubmissionAnswer> => {
	const entry = run.register.begin(submission.identifier, submission.tasks.length, async begun => {
		const version = run.findVersion(submission.service);
		if (!version) {
			return refuse(FaultKind.UnknownService, `no document in force names the service "${submission.service}"`);
		}

		return run.admit(version, submission) ?? runTasks(submission, version, begun, run);
	});
	return entry.answer;
};

const discarded = (identifier: string): SubmissionAnswer =>
	answerUnknown(FaultKind.AnswerDiscarded, `"${identifier}" was taken before and its answer is no longer kept`);

const forward = async (submission: Submission, holder: IdentifierHolder, run: ObservedRun): Promise<SubmissionAnswer> => {
	run.observer.note({kind: RecordStepKind.Forwarded, detail: `to ${holder.instance}, which holds the identifier`});
	const span = run.openTrace(submission.traceparent).begin(SpanName.Forward, {job: submission.identifier, holder: holder.instance});
	const answer = await run.forward(holder, {...submission, traceparent: span.traceparent});
	span.end({outcome: answer.outcome}, answer.fault);
	return answer;
};

const submitMinted = async (submission: Submission, holder: IdentifierHolder, run: ObservedRun): Promise<SubmissionAnswer> => {
	if (holder.incarnation !== run.self.incarnation) {
		return forward(submission, holder, run);
	}

	return run.register.redeem(submission.identifier) ? runHeld(submission, run) : discarded(submission.identifier);
};

const submitChosen = async (submission: Submission, run: ObservedRun): Promise<SubmissionAnswer> => {
	const claim = await run.claim(submission.identifier);
	run.observer.note({kind: RecordStepKind.Claimed, detail: claim.state});
	switch (claim.state) {
		case ClaimState.Ours: {
			return runHeld(submission, run);
		}

		case ClaimState.Held: {
			if (claim.holder.incarnation !== run.self.incarnation) {
				return forward(submission, claim.holder, run);
			}

			// This incarnation claimed it in an earlier attempt.
			if (run.register.entryOf(submission.identifier) !== undefined || run.register.redeem(submission.identifier)) {
				return runHeld(submission, run);
			}

			return discarded(submission.identifier);
		}

		case ClaimState.Unavailable: {
			// The row may yet be written; a later attempt that finds it may run the submission.
			run.register.issue(submission.identifier);
			return answerUnknown(FaultKind.ClaimUnavailable, `the claim of "${submission.identifier}" was not confirmed by the platform; this attempt started nothing`);
		}
	}
};

/**
Takes a submission: runs it here if this incarnation holds its identifier, otherwise asks the holder.

@returns The one answer of the submission, or what is known about it; never throws.

@example
```
const answer = await submit({identifier: 'sheet-2041', service: 'paysheet', …}, run);
```
*/
export const submit = async (submission: Submission, run: SubmissionRun): Promise<SubmissionAnswer> => {
	const parsed = parseIdentifier(submission.identifier);
	if (!parsed) {
		return refuse(FaultKind.BadIdentifier, `"${submission.identifier}" is not a valid identifier`);
	}

	const held = run.register.entryOf(submission.identifier);
	if (held) {
		run.noteRepeat(submission.identifier);
		return held.answer;
	}

	const observer = run.observe({
		kind: ObservedKind.Job, identifier: submission.identifier, service: submission.service, detail: `${submission.tasks.length} tasks`,
	});
	const observed = {...run, observer};
	const answer = await (parsed.kind === IdentifierKind.Minted
		? submitMinted(submission, parsed.holder, observed)
		: submitChosen(submission, observed));
	const {outcome, fault, detail} = answer;
	observer.end({outcome, ...(fault && {fault}), ...(detail !== undefined && {detail})});
	return answer;
};
