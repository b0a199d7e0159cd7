/**
Whether an endpoint is given work, by how its last runs ended.
*/
export enum HealthState {
	/** Takes work. */
	Healthy = 'sound',
	/** Takes nothing until its rest is over. */
	CoolingDown = 'resting',
	/** Takes one task at a time until one succeeds. */
	Probing = 'probing',
}

/**
What the health of an endpoint follows.
*/
export enum HealthEvent {
	Succeeded = 'succeeded',
	Failed = 'failed',
	/** A run made no progress. */
	Stalled = 'stalled',
	/** The endpoint declined an order for a reason other than room, or didn't answer it. */
	Declined = 'declined',
}

export type EndpointHealth = {
	readonly state: HealthState;
	/** Bad events since the last success. */
	readonly failuresInRow: number;
	/** Steady milliseconds at which the rest is over. */
	readonly cooldownEndsAt: number;
};

const failureThreshold = 2;
const minimumCooldownMilliseconds = 1500;
const maximumCooldownMilliseconds = 6000;

/**
The health of an endpoint of which nothing is known.
*/
export const newEndpointHealth: EndpointHealth = {state: HealthState.Healthy, failuresInRow: 0, cooldownEndsAt: 0};

const cooldownAfter = (failuresInRow: number): number =>
	Math.min(maximumCooldownMilliseconds, minimumCooldownMilliseconds * (2 ** (failuresInRow - failureThreshold)));

/**
Returns the health after an event. A stalled run counts as much as several failures, since finding it took long.

@param now Steady milliseconds.

@example
```
const health = updateHealth(newEndpointHealth, HealthEvent.Failed, performance.now());
```
*/
export const updateHealth = (health: EndpointHealth, event: HealthEvent, now: number): EndpointHealth => {
	if (event === HealthEvent.Succeeded) {
		return newEndpointHealth;
	}

	const failuresInRow = health.failuresInRow + (event === HealthEvent.Stalled ? failureThreshold : 1);
	const isCoolingDown = failuresInRow >= failureThreshold || health.state === HealthState.Probing;
	return isCoolingDown
		? {state: HealthState.CoolingDown, failuresInRow, cooldownEndsAt: now + cooldownAfter(Math.max(failuresInRow, failureThreshold))}
		: {...health, failuresInRow};
};

/**
Returns the health at a moment: a rest that is over becomes a probe.
*/
export const healthAt = (health: EndpointHealth, now: number): EndpointHealth =>
	health.state === HealthState.CoolingDown && now >= health.cooldownEndsAt ? {...health, state: HealthState.Probing} : health;
