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
Time within which an owner that is partitioned from its peers detects that endpoints accept another owner, and gives up its cell.
*/
export const yieldMilliseconds = 1000;

/**
Returns the time after which a lease that begins now is certain to have expired, in milliseconds.

@param holdMaximumMilliseconds Maximum lease that an endpoint grants, on its own clock.

@example
```
maximumLeaseOf(1000); // => 1060
```
*/
export const maximumLeaseOf = (holdMaximumMilliseconds: number): number => (holdMaximumMilliseconds * slowClockFactor) + leaseSlackMilliseconds;
