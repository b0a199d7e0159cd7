/**
State of an endpoint's circuit breaker, by the tasks that it lets through.
*/
export enum GuardState {
	/** All tasks. */
	Closed = 'closed',
	/** No new tasks. */
	Open = 'open',
	/** One task, as a probe. */
	HalfOpen = 'half-open',
}

/**
Why the circuit breaker of an endpoint is not closed.
*/
export enum GuardReason {
	/** Server errors, which the tasks themselves may have caused. */
	ServerErrors = 'server-errors',
	/** The endpoint did not answer. */
	NoAnswers = 'no-answers',
	/** Tasks run far longer than expected while the endpoint answers none. */
	Frozen = 'frozen',
}
