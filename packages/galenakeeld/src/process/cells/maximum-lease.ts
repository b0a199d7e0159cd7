/** An endpoint's clock may be slower than the local clock by this factor. */
const slowClockFactor = 1.02;
const leaseSlackMilliseconds = 40;

/**
Lease below which no task is started, because the run would end with it.
*/
export const minimumLeaseMilliseconds = 300;

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
