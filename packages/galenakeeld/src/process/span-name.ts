/**
Names of the spans of a request.
*/
export enum SpanName {
	/** A caller's request, until its answer is written. */
	CallerRequest = 'caller request',
	/** The time that a task waits for a slot. */
	SlotWait = 'slot wait',
	/** One task sent to an endpoint, until its answer. */
	EndpointExchange = 'endpoint exchange',
	/** A submission forwarded to the instance that holds its identifier. */
	Forward = 'forward to holder',
	/** The run of a forwarded submission on the instance that holds its identifier. */
	HolderRun = 'holder run',
}
