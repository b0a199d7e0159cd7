/**
Policies for choosing the endpoint of a task.
*/
export enum PlacementPolicy {
	/** An endpoint chosen uniformly at random. */
	Random = 'random',
	/** The endpoints in turn. */
	RoundRobin = 'round-robin',
	/** The one of two randomly chosen endpoints that runs fewer tasks of this instance. */
	PowerOfTwoChoices = 'power-of-two-choices',
	/** The endpoint that runs the fewest tasks of this instance. */
	LeastOutstanding = 'least-outstanding',
	/** An endpoint with a free slot that this instance owns. */
	Shares = 'shares',
	/** An endpoint with a free slot that this instance owns or has borrowed from a peer. */
	SharesWithBorrowing = 'shares-with-borrowing',
}
