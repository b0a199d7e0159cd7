import {GuardReason, GuardState} from '@galenakeel/model/process/guard-state.js';

/**
Outcome of an attempt at a task, as the circuit breaker of its endpoint counts it.
*/
export enum AttemptResult {
	/** A complete answer that is not a server error. */
	Answered = 'answered',
	/** A complete answer with a server error. */
	ServerError = 'server-error',
	/** No connection, an incomplete answer, or no answer within the time-out. */
	NoAnswer = 'no-answer',
}

/**
The circuit breaker of one endpoint. Times are on the monotonic clock, in milliseconds.
*/
export type EndpointGuard = {
	readonly record: (result: AttemptResult, now: number) => void;
	/** Opens the breaker because the endpoint has not answered for too long. */
	readonly markFrozen: (now: number) => void;
	/** Moves an open breaker to half-open once its probation time is over. */
	readonly allowProbe: (now: number) => void;
	readonly state: () => GuardState;
	/** Why the breaker last opened; meaningful only while it is not closed. */
	readonly reason: () => GuardReason;
	/** Time of the last complete answer; `-Infinity` before the first. */
	readonly answeredAt: () => number;
};

/**
Limits of a circuit breaker.
*/
export type GuardLimits = {readonly failuresBeforeOpen: number; readonly probationMilliseconds: number; readonly retryBudget: number};

const probationGrowth = 2;
const maximumProbationMilliseconds = 30_000;
/** Consecutive successful answers after which the probation time is back at its initial value. */
const answersToForget = 20;
const failureSmoothing = 0.05;
/** Smoothed share of failures among recent attempts above which the breaker opens. */
const maximumFailureShare = 0.5;

/**
Creates a closed circuit breaker for an endpoint.

It opens after a number of consecutive failures, or when most recent attempts failed. After the probation time it is half-open and allows one probe. The probation time doubles with each failed probe (Nygard, "Release It!", 2007, on circuit breakers).

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
		// The probation of a frozen endpoint is not lengthened, since each of its probes already lasts until the time-out.
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

		// A late answer to a task started before the breaker opened does not show that an endpoint with server errors has recovered.
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
