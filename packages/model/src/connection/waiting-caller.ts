/**
A caller that waits for the answer to its job.
*/
export type WaitingCaller = {
	/** Aborted when the end of the caller's connection is read. */
	readonly disconnected: AbortSignal;
	/** Monotonic milliseconds before which the whole head of its request can't have arrived; a request that was on its way for long was sent earlier. */
	readonly sentAfter: number;
	/** How long the caller waits for an answer, in milliseconds from the sending of its request; undefined if it doesn't say. */
	readonly waitMilliseconds: number | undefined;
};
