/**
How late the runtime's timers were within a period.
*/
export type LoopDelay = {readonly meanMilliseconds: number; readonly maximumMilliseconds: number};

/**
Lateness of a repeating timer, which shows how long the event loop was occupied.
*/
export type LoopDelayMeter = {
	/** Records one call of the timer. */
	readonly record: (now: number) => void;
	/** Returns the delay since the last call of this function. */
	readonly take: () => LoopDelay;
};

/**
Creates a meter for a timer.

@param intervalMilliseconds Interval of the timer.
@param startedAt Monotonic milliseconds at which the timer was started.

@example
```
const meter = createLoopDelayMeter(10, performance.now());
const timer = setInterval(() => {
	meter.record(performance.now());
}, 10);
```
*/
export const createLoopDelayMeter = (intervalMilliseconds: number, startedAt: number): LoopDelayMeter => {
	let lastCallAt = startedAt;
	let calls = 0;
	let total = 0;
	let maximum = 0;
	return {
		record(now) {
			const delay = Math.max(0, now - lastCallAt - intervalMilliseconds);
			lastCallAt = now;
			calls++;
			total += delay;
			maximum = Math.max(maximum, delay);
		},
		take() {
			const delay = {meanMilliseconds: calls > 0 ? total / calls : 0, maximumMilliseconds: maximum};
			calls = 0;
			total = 0;
			maximum = 0;
			return delay;
		},
	};
};
