/**
Decisions about an endpoint that are logged.
*/
export enum EndpointDecision {
	/** The endpoint doesn't answer polls. */
	Silent = 'endpoint-silent',
	/** The endpoint answers again. */
	Regained = 'endpoint-regained',
	/** An orphaned run of an earlier owner was stopped. */
	OrphanStopped = 'stray-stopped',
	/** A start was not answered; its outcome is being resolved. */
	StartUnknown = 'order-unknown',
	/** The endpoint no longer lists a run and reported no end of it. */
	RunLost = 'run-lost',
	/** A run makes no progress and is stopped. */
	RunStalled = 'run-stalled',
	/** The endpoint cools down after failures. */
	CooldownStarted = 'endpoint-rests',
	/** The endpoint declined a start. */
	Declined = 'start-declined',
	/** The endpoint has restarted: another incarnation answered. */
	OtherIncarnation = 'endpoint-other-life',
	/** An endpoint with another identifier answered at the address. */
	Replaced = 'endpoint-replaced',
}
