/**
The hops of a request.
*/
export enum SpanName {
	/** A request of a caller, until its answer is written. */
	CallerRequest = 'caller request',
	/** The wait of a task for a slot. */
	SlotWait = 'slot wait',
	/** One task sent to an endpoint, until its answer. */
	EndpointExchange = 'endpoint exchange',
	/** A submission handed to the instance that holds its identifier. */
	Forward = 'forward to holder',
	/** The run of a submission by its holder. */
	HolderRun = 'holder run',
}
