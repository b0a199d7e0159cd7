import {GuardReason, GuardState} from '@galenakeel/model/process/guard-state.js';

/**
How an attempt at a task speaks for or against an endpoint.
*/
export enum AttemptResult {
	/** A whole answer that is not a server error. */
	Answered = 'answered',
	/** A whole answer with a server error. */
	ServerError = 'server-error',
	/** No connection, no whole answer, or no answer in time. */
	NoAnswer = 'no-answer',
}

/**
The circuit breaker of one endpoint. Times are on the monotonic clock, in milliseconds.
*/
export type EndpointGuard = {
	readonly record: (result: AttemptResult, now: number) => void;
	/** Opens the breaker because nothing has been answered for too long. */
	readonly markFrozen: (now: number) => void;
	/** Lets a probe through when it is due. */
	readonly allowProbe: (now: number) => void;
	readonly state: () => GuardState;
	/** Why the breaker is not closed. */
	readonly reason: () => GuardReason;
	/** Time of the last whole answer; `-Infinity` before the first. */
	readonly answeredAt: () => number;
};

/**
Limits of a circuit breaker.
*/
export type GuardLimits = {readonly failuresBeforeOpen: number; readonly probationMilliseconds: number; readonly retryBudget: number};

const probationGrowth = 2;
const maximumProbationMilliseconds = 30_000;
/** Answers in a row after which earlier failures no longer lengthen the probation. */
const answersToForget = 20;
const failureSmoothing = 0.05;
/** Share of failures among recent attempts above which an endpoint is not used. */
const maximumFailureShare = 0.5;

/**
Creates the circuit breaker of an endpoint that has not failed.

It opens after a number of failures in a row, or when most recent attempts failed, and then lets one probe through after the probation time, which doubles with each probe that fails (Nygard, "Release It!", 2007, on circuit breakers).

@example
```
const guard = createEndpointGuard(() => version.document.guards);
guard.record(AttemptResult.ServerError, performance.now());
guard.state(); // => GuardState.Closed
```
*/
export const createEndpointGuard = (limits: () => GuardLimits): EndpointGuard => {
	let state = GuardState.Closed;
	let reason = GuardReason.NoAnswers;
	let failuresInRow = 0;
	let answersInRow = 0;
	let failureShare = 0;
	let probationExponent = 0;
	let probeAt = 0;
	let answeredAt = -Infinity;

	const open = (cause: GuardReason, now: number): void => {
		const {probationMilliseconds} = limits();
		state = GuardState.Open;
		reason = cause;
		probeAt = now + Math.min(maximumProbationMilliseconds, probationMilliseconds * (probationGrowth ** probationExponent));
		// A frozen endpoint needs no longer probation: its probe hangs until the time-out.
		probationExponent += cause === GuardReason.Frozen ? 0 : 1;
	};

	const close = (): void => {
		state = GuardState.Closed;
		failuresInRow = 0;
		failureShare = 0;
	};

	const succeed = (): void => {
		failuresInRow = 0;
		answersInRow++;
		failureShare -= failureSmoothing * failureShare;
		if (answersInRow >= answersToForget) {
			probationExponent = 0;
		}

		// A late answer of a task from before says nothing about an endpoint that fails what it starts now.
		if (state === GuardState.HalfOpen || (state === GuardState.Open && reason === GuardReason.Frozen)) {
			close();
		}
	};

	const fail = (cause: GuardReason, now: number): void => {
		failuresInRow++;
		answersInRow = 0;
		failureShare += failureSmoothing * (1 - failureShare);
		const isOverLimit = failuresInRow >= limits().failuresBeforeOpen || failureShare > maximumFailureShare;
		if (state === GuardState.HalfOpen || (state === GuardState.Closed && isOverLimit)) {
			open(cause, now);
		}
	};

	return {
		record(result, now) {
			if (result !== AttemptResult.NoAnswer) {
				answeredAt = now;
			}

			if (result === AttemptResult.Answered) {
				succeed();
			} else {
				fail(result === AttemptResult.ServerError ? GuardReason.ServerErrors : GuardReason.NoAnswers, now);
			}
		},
		markFrozen(now) {
			if (state !== GuardState.Open) {
				open(GuardReason.Frozen, now);
			}
		},
		allowProbe(now) {
			if (state === GuardState.Open && now >= probeAt) {
				state = GuardState.HalfOpen;
			}
		},
		state: () => state,
		reason: () => reason,
		answeredAt: () => answeredAt,
	};
};
