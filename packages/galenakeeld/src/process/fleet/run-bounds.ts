import {unconfirmedRunOf} from '../cells/maximum-lease.js';

/**
For how long the runs of an owner may go on. Holder and owner have to count by the same bounds.
*/
export type RunBounds = {
	/** Time for which a holder that has lost an owner waits for a successor before it assigns a part to another cell, in milliseconds. */
	readonly successorWaitMilliseconds: number;
	/** Time for which a run may go on after its owner sent the last frame that the holder has confirmed, in milliseconds. */
	readonly unconfirmedRunMilliseconds: number;
};

export type RunBoundsOptions = {
	/** Maximum lease that an endpoint grants, on its own clock. */
	readonly holdMaximumMilliseconds: number;
	/** Time from the end of a caller's wait until it may submit its job again. */
	readonly returnMilliseconds: number;
};

/** Maximum time for which a run continues after its lease: allows for a slow clock, and for the time until an owner detects the loss of its holder. */
const leaseSlackMilliseconds = 300;

/**
Returns the bounds for the settings of a daemon.

@example
```
runBoundsOf({holdMaximumMilliseconds: 1000, returnMilliseconds: 2000}); // => {successorWaitMilliseconds: 1300, unconfirmedRunMilliseconds: 1300}
```
*/
export const runBoundsOf = ({holdMaximumMilliseconds, returnMilliseconds}: RunBoundsOptions): RunBounds => {
	const successorWaitMilliseconds = holdMaximumMilliseconds + leaseSlackMilliseconds;
	return {
		successorWaitMilliseconds,
		unconfirmedRunMilliseconds: unconfirmedRunOf({holdMaximumMilliseconds, returnMilliseconds, successorWaitMilliseconds}),
	};
};
