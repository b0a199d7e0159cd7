/**
Whether an endpoint is given tasks, depending on how its last runs ended.
*/
export enum HealthState {
	/** Takes tasks. */
	Healthy = 'healthy',
	/** Takes no tasks until its cooldown is over. */
	CoolingDown = 'cooling-down',
	/** Takes one task at a time until one succeeds. */
	Probing = 'probing',
}

/**
Events that change the health of an endpoint.
*/
export enum HealthEvent {
	Succeeded = 'succeeded',
	Failed = 'failed',
	/** A run made no progress. */
	Stalled = 'stalled',
	/** The endpoint declined a start for a reason other than capacity. */
	Declined = 'declined',
}

export type EndpointHealth = {
	readonly state: HealthState;
	/** Failures since the last success. */
	readonly failuresInRow: number;
	/** Monotonic milliseconds at which the cooldown is over. */
	readonly cooldownEndsAt: number;
};

const failureThreshold = 2;
const minimumCooldownMilliseconds = 1500;
const maximumCooldownMilliseconds = 6000;

/**
The health of an endpoint without history.
*/
export const newEndpointHealth: EndpointHealth = {state: HealthState.Healthy, failuresInRow: 0, cooldownEndsAt: 0};

const cooldownAfter = (failuresInRow: number): number =>
	Math.min(maximumCooldownMilliseconds, minimumCooldownMilliseconds * (2 ** (failuresInRow - failureThreshold)));

/**
Returns the health after an event. A stalled run counts as several failures, because it takes long to detect.

@param now Monotonic milliseconds.

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
Returns the health at a given time: once the cooldown is over, the endpoint is probed.
*/
export const healthAt = (health: EndpointHealth, now: number): EndpointHealth =>
	health.state === HealthState.CoolingDown && now >= health.cooldownEndsAt ? {...health, state: HealthState.Probing} : health;
