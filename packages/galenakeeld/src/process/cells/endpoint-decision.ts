/**
Decisions about an endpoint that are logged.
*/
export enum EndpointDecision {
	/** The endpoint doesn't answer looks. */
	Silent = 'endpoint-silent',
	/** The endpoint answers again. */
	Regained = 'endpoint-regained',
	/** A run of an earlier owner was stopped. */
	OrphanStopped = 'stray-stopped',
	/** An order was not answered and is made void. */
	OrderUnknown = 'order-unknown',
	/** A run is no longer shown, without an end. */
	RunLost = 'run-lost',
	/** A run stands still and is stopped. */
	RunStalled = 'run-stalled',
	/** The endpoint rests after bad ends. */
	CooldownStarted = 'endpoint-rests',
	/** The endpoint declined a start. */
	Declined = 'start-declined',
	/** Another life of the endpoint answers. */
	OtherIncarnation = 'endpoint-other-life',
}
