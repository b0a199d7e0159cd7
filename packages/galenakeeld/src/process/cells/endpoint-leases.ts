import {performance} from 'node:perf_hooks';
import {createEndpointClock} from './endpoint-clock.js';
import {maximumLeaseOf} from './maximum-lease.js';

/**
The leases that an owner has sent to one incarnation of an endpoint.
*/
export type EndpointLeases = {
	/** Records the endpoint's clock from an answer that has just arrived. */
	readonly observe: (clockMilliseconds: number) => void;
	/** Whether the clock of an answer that has just arrived may be that of this incarnation. */
	readonly isPlausible: (clockMilliseconds: number) => boolean;
	/**
	Returns the end of a lease that begins now, on the endpoint's clock; undefined before the first answer, or if the limit has passed. It counts as sent.

	@param limitAt Monotonic milliseconds after which the lease must not end; without a limit by default.
	*/
	readonly next: (limitAt?: number) => number | undefined;
	/** Monotonic milliseconds at which every lease that was sent has expired. */
	readonly endsAt: () => number;
	/** Counts the longest lease that another owner may have sent up to now. */
	readonly recordOtherOwner: () => void;
	/** Whether every lease that was sent has expired, so that nothing can be running any more. */
	readonly haveExpired: () => boolean;
};

/**
Creates the leases of an endpoint. An earlier owner may have sent a lease just before, so the maximum lease is assumed to run from now.

@param holdMaximumMilliseconds Maximum lease that the endpoint grants, on its own clock.

@example
```
const leases = createEndpointLeases(1000);
leases.observe(482113);
leases.next(); // => 483113
```
*/
export const createEndpointLeases = (holdMaximumMilliseconds: number): EndpointLeases => {
	const clock = createEndpointClock();
	const maximumLease = maximumLeaseOf(holdMaximumMilliseconds);
	let endAt = performance.now() + maximumLease;

	return {
		observe: clock.observe,
		isPlausible: clock.isPlausible,
		next(limitAt = Number.POSITIVE_INFINITY) {
			const now = clock.now();
			const lease = Math.min(holdMaximumMilliseconds, limitAt - performance.now());
			if (now === undefined || lease <= 0) {
				return undefined;
			}

			endAt = Math.max(endAt, performance.now() + maximumLeaseOf(lease));
			return now + lease;
		},
		endsAt: () => endAt,
		recordOtherOwner() {
			endAt = Math.max(endAt, performance.now() + maximumLease);
		},
		haveExpired: () => performance.now() > endAt,
	};
};
