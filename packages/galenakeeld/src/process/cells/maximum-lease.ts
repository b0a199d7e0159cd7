/** An endpoint's clock may be slower than the local clock by this factor. */
const slowClockFactor = 1.02;
const leaseSlackMilliseconds = 40;

/**
Lease below which no task is started, because the run would end with it.
*/
export const minimumLeaseMilliseconds = 300;

/**
Remaining time of a holder's leases below which the holder is asked to confirm that it hears the owner.
*/
export const renewalMilliseconds = 700;

/**
Lease below which an endpoint is polled again as soon as the holder has confirmed, ahead of the next regular poll.
*/
export const shortLeaseMilliseconds = 500;

/**
Remaining time of a silent holder's leases below which its runs are stopped, since the lease of an endpoint, and so each run there, would end with theirs. A stop takes some 50 ms.
*/
export const stopSilentMilliseconds = 200;

/**
Returns the time after which a lease that begins now is certain to have expired, in milliseconds.

@param holdMaximumMilliseconds Maximum lease that an endpoint grants, on its own clock.

@example
```
maximumLeaseOf(1000); // => 1060
```
*/
export const maximumLeaseOf = (holdMaximumMilliseconds: number): number => (holdMaximumMilliseconds * slowClockFactor) + leaseSlackMilliseconds;

/**
What bounds the time for which a run may go on without another confirmation of its holder, in milliseconds.
*/
export type UnconfirmedRunBounds = {
	/** Maximum lease that an endpoint grants, on its own clock. */
	readonly holdMaximumMilliseconds: number;
	/** Time from the end of a caller's wait until it may submit its job again. */
	readonly returnMilliseconds: number;
	/** Time for which a holder that has lost an owner waits for a successor before it assigns a part to another cell. */
	readonly successorWaitMilliseconds: number;
};

/**
Returns the time for which a run may go on after the owner sent the last frame that the holder has confirmed, in milliseconds: until the job may be started elsewhere, and no shorter than the longest lease.

@example
```
unconfirmedRunOf({holdMaximumMilliseconds: 1000, returnMilliseconds: 2000, successorWaitMilliseconds: 1300}); // => 1300
```
*/
export const unconfirmedRunOf = ({holdMaximumMilliseconds, returnMilliseconds, successorWaitMilliseconds}: UnconfirmedRunBounds): number =>
	Math.max(maximumLeaseOf(holdMaximumMilliseconds), Math.min(returnMilliseconds, successorWaitMilliseconds));
