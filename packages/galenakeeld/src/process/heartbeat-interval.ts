/**
Settings that determine the time between heartbeats.
*/
export type HeartbeatIntervalSettings = {
	readonly heartbeatMilliseconds: number;
	readonly maximumHeartbeatMilliseconds: number;
	/** Factor of the growth with the number of instances; 0 keeps the interval at its minimum. */
	readonly heartbeatLoadFactor: number;
};

/**
Returns the time between heartbeats in milliseconds, scaled with the square root of the number of instances.

`min(maximum, max(minimum, minimum * sqrt(N - 1) * l))` with N instances and the load factor l (Constellation Heartbeat Protocol, "Congestion Control").

@example
```
scaleHeartbeatInterval({heartbeatMilliseconds: 500, maximumHeartbeatMilliseconds: 5000, heartbeatLoadFactor: 0.25}, 101); // => 1250
```
*/
export const scaleHeartbeatInterval = (settings: HeartbeatIntervalSettings, instances: number): number => {
	const {heartbeatMilliseconds: minimum, maximumHeartbeatMilliseconds: maximum, heartbeatLoadFactor} = settings;
	const scaled = minimum * Math.sqrt(Math.max(0, instances - 1)) * heartbeatLoadFactor;
	return Math.round(Math.min(Math.max(minimum, maximum), Math.max(minimum, scaled)));
};

/** Number of heartbeats to the peer that watches this instance for each heartbeat to any other peer. */
const heartbeatsToWatcher = 6;

/**
Returns the time in milliseconds between heartbeats to a peer that does not watch this instance.

@example
```
intervalToOthers({heartbeatMilliseconds: 800, maximumHeartbeatMilliseconds: 5000, heartbeatLoadFactor: 0.25}, 9); // => 4800
```
*/
export const intervalToOthers = (settings: HeartbeatIntervalSettings, instances: number): number =>
	scaleHeartbeatInterval({...settings, heartbeatMilliseconds: settings.heartbeatMilliseconds * heartbeatsToWatcher}, instances);
