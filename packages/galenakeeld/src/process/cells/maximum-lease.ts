/** An endpoint's clock may be this much slower than ours. */
const slowClockFactor = 1.02;
const leaseSlackMilliseconds = 40;

/**
Time in which an owner that is cut off from its peers finds that endpoints obey another one, and gives its cell up.
*/
export const yieldMilliseconds = 1000;

/**
Returns the time after which a lease that begins now has surely ended, in milliseconds.

@param holdMaximumMilliseconds Longest lease that an endpoint grants, on its own clock.

@example
```
longestLeaseOf(1000); // => 1060
```
*/
export const maximumLeaseOf = (holdMaximumMilliseconds: number): number => (holdMaximumMilliseconds * slowClockFactor) + leaseSlackMilliseconds;
