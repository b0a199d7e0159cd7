/**
What an endpoint's circuit breaker lets through.
*/
export enum GuardState {
	/** All tasks. */
	Closed = 'closed',
	/** No new tasks. */
	Open = 'open',
	/** One task as a probe. */
	HalfOpen = 'half-open',
}

/**
Why the circuit breaker of an endpoint is not closed.
*/
export enum GuardReason {
	/** Server errors, which may be the fault of the tasks. */
	ServerErrors = 'server-errors',
	/** No answers. */
	NoAnswers = 'no-answers',
	/** Tasks that run far longer than expected while nothing is answered. */
	Frozen = 'frozen',
}
