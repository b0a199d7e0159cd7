/**
The ways of choosing an endpoint for a task.
*/
export enum PlacementPolicy {
	/** Any endpoint, drawn uniformly. */
	Random = 'random',
	/** Each endpoint in turn. */
	RoundRobin = 'round-robin',
	/** The less loaded of two drawn endpoints, by this instance's own counts. */
	PowerOfTwoChoices = 'power-of-two-choices',
	/** The endpoint with the fewest tasks of this instance. */
	LeastOutstanding = 'least-outstanding',
	/** Free slots that this instance owns. */
	Shares = 'shares',
	/** Own free slots, then slots lent by peers. */
	SharesWithBorrowing = 'shares-with-borrowing',
}
