import {performance} from 'node:perf_hooks';
import {EndpointDecision} from './endpoint-decision.js';
import {
	HealthState, healthAt, newEndpointHealth, updateHealth, type HealthEvent,
} from './endpoint-health.js';

/**
The times in which one incarnation of an endpoint takes no tasks because of what it has done with earlier ones.
*/
export type EndpointCooldowns = {
	/** Records how a run ended, or that a start was declined for a reason other than capacity. */
	readonly record: (event: HealthEvent) => void;
	/** Records that a start was declined for lack of capacity. */
	readonly recordInsufficientCapacity: () => void;
	/** Health of the endpoint; `now` in monotonic milliseconds. */
	readonly stateAt: (now: number) => HealthState;
	/** Whether it is long enough ago that a start was declined for lack of capacity; `now` in monotonic milliseconds. */
	readonly isCapacityExpected: (now: number) => boolean;
	/** Begins anew with another incarnation. */
	readonly reset: () => void;
};

export type EndpointCooldownsOptions = {
	/** Identifier of the endpoint. */
	readonly identifier: () => string;
	/** Called when the endpoint may be asked for capacity again. */
	readonly onChange: () => void;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
};

const insufficientCapacityCooldownMilliseconds = 60;

/**
Creates the cooldowns of an endpoint without history.

@example
```
const cooldowns = createEndpointCooldowns({identifier: () => entry.identifier, onChange, onDecision});
cooldowns.record(HealthEvent.Failed);
cooldowns.stateAt(performance.now()); // => HealthState.Healthy
```
*/
export const createEndpointCooldowns = ({identifier, onChange, onDecision}: EndpointCooldownsOptions): EndpointCooldowns => {
	let health = newEndpointHealth;
	let cooldownEndsAt = 0;

	return {
		record(event) {
			const before = healthAt(health, performance.now());
			health = updateHealth(before, event, performance.now());
			if (health.state === HealthState.CoolingDown && before.state !== HealthState.CoolingDown) {
				onDecision(EndpointDecision.CooldownStarted, {endpoint: identifier(), cause: event, failuresInRow: health.failuresInRow});
			}
		},
		recordInsufficientCapacity() {
			cooldownEndsAt = performance.now() + insufficientCapacityCooldownMilliseconds;
			setTimeout(onChange, insufficientCapacityCooldownMilliseconds);
		},
		stateAt: now => healthAt(health, now).state,
		isCapacityExpected: now => now >= cooldownEndsAt,
		reset() {
			health = newEndpointHealth;
			cooldownEndsAt = 0;
		},
	};
};
