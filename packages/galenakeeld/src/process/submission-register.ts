import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {SubmissionAnswer} from '@galenakeel/model/request/task.js';

/**
Progress of a submission on the incarnation that holds it.
*/
export enum SubmissionState {
	/** No task has started. */
	Waiting = 'waiting',
	/** At least one task has started. */
	Running = 'running',
	/** The answer is final. */
	Answered = 'answered',
}

const submissionStates: ReadonlySet<string> = new Set(Object.values(SubmissionState));

/**
Returns whether a string is the value of a submission state.
*/
export const isSubmissionState = (value: string): value is SubmissionState => submissionStates.has(value);

/**
A submission that this incarnation holds.
*/
export type SubmissionEntry = {
	readonly identifier: string;
	/** Digest of the submission; a different submission under the same identifier is refused. */
	readonly fingerprint: string;
	/** Single-use permit to run the submission: the minted identifier or the nonce of the claim. Issued again if nothing started. */
	readonly permit: string;
	readonly tasks: number;
	readonly cancellation: AbortController;
	/** Resolves with the answer, which every repeat of the submission shares. */
	readonly answer: Promise<SubmissionAnswer>;
	state: SubmissionState;
	started: number;
	finished: number;
};

/**
Properties of a submission that are known when it begins.
*/
export type HeldSubmission = Pick<SubmissionEntry, 'identifier' | 'fingerprint' | 'permit' | 'tasks'>;

type KeptEntry = {readonly entry: SubmissionEntry; bytes: number; answeredAt: number};

/**
The submissions that this incarnation has run, is running, or may still run.
*/
export type SubmissionRegister = {
	/** Records a minted identifier, or the nonce of a claim, as a permit to run one submission once. */
	readonly issue: (permit: string) => void;
	/** Consumes a permit; returns false if it was never issued, has been used, or has expired. */
	readonly redeem: (permit: string) => boolean;
	readonly entryOf: (identifier: string) => SubmissionEntry | undefined;
	/** Adds a submission and runs it; returns the existing entry if the identifier is already held. */
	readonly begin: (submission: HeldSubmission, run: (entry: SubmissionEntry) => Promise<SubmissionAnswer>) => SubmissionEntry;
	/** Removes permits and answers that are past their retention, and answers, oldest submission first, while their total size is above the limit. */
	readonly sweep: () => void;
	readonly unanswered: () => number;
	readonly size: () => number;
};

const bytesOf = (answer: SubmissionAnswer): number => {
	let bytes = 0;
	for (const task of answer.answers) {
		bytes += task.body.byteLength;
	}

	return bytes;
};

/**
Creates an empty register.

@example
```
const register = createSubmissionRegister({retentionMilliseconds: 600_000, maximumBytes: 2 ** 26});
const entry = register.begin({identifier, fingerprint, permit: identifier, tasks: 1}, async () => answer);
```
*/
export const createSubmissionRegister = (limits: {retentionMilliseconds: number; maximumBytes: number}): SubmissionRegister => {
	const issued = new Map<string, number>();
	const kept = new Map<string, KeptEntry>();
	let unanswered = 0;
	let keptBytes = 0;

	const settle = (held: KeptEntry, answer: SubmissionAnswer): void => {
		unanswered--;
		held.entry.state = SubmissionState.Answered;
		held.answeredAt = Date.now();
		held.bytes = bytesOf(answer);
		keptBytes += held.bytes;
		if (answer.outcome === Outcome.NotRun && !held.entry.cancellation.signal.aborted) {
			// Nothing started, so the caller may submit under the same identifier again. A cancelled submission stays cancelled.
			drop(held.entry.identifier);
			issue(held.entry.permit);
		}
	};

	const drop = (identifier: string): void => {
		const held = kept.get(identifier);
		if (held) {
			keptBytes -= held.bytes;
			kept.delete(identifier);
		}
	};

	const issue = (permit: string): void => {
		// Reinserted at the end, since the sweep stops at the first permit that has not expired.
		issued.delete(permit);
		issued.set(permit, Date.now());
	};

	return {
		issue,
		redeem: permit => issued.delete(permit),
		entryOf: identifier => kept.get(identifier)?.entry,
		begin(submission, run) {
			const {identifier} = submission;
			const existing = kept.get(identifier);
			if (existing) {
				return existing.entry;
			}

			const {promise, resolve, reject} = createDeferred<SubmissionAnswer>();
			const entry: SubmissionEntry = {
				...submission, cancellation: new AbortController(), answer: promise, state: SubmissionState.Waiting, started: 0, finished: 0,
			};
			const held: KeptEntry = {entry, bytes: 0, answeredAt: 0};
			kept.set(identifier, held);
			unanswered++;
			void (async () => {
				try {
					const answer = await run(entry);
					settle(held, answer);
					resolve(answer);
				} catch (error) {
					settle(held, {outcome: Outcome.OutcomeUnknown, answers: []});
					reject(error);
				}
			})();

			return entry;
		},
		sweep() {
			const now = Date.now();
			for (const [identifier, issuedAt] of issued) {
				if (now - issuedAt < limits.retentionMilliseconds) {
					break;
				}

				issued.delete(identifier);
			}

			for (const [identifier, held] of kept) {
				if (held.entry.state !== SubmissionState.Answered) {
					continue;
				}

				if (now - held.answeredAt >= limits.retentionMilliseconds || keptBytes > limits.maximumBytes) {
					drop(identifier);
				}
			}
		},
		unanswered: () => unanswered,
		size: () => kept.size,
	};
};
