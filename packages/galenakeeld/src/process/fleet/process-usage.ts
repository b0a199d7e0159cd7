import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {getHeapStatistics} from 'node:v8';

/**
What the process has used so far.
*/
export type ProcessUsage = {
	readonly processorMilliseconds: number;
	/** Time in which the event loop was not waiting for events. */
	readonly busyMilliseconds: number;
	readonly heapBytes: number;
};

const microsecondsPerMillisecond = 1000;

/**
Reads the usage of this process.

@example
```
readProcessUsage().heapBytes;
```
*/
export const readProcessUsage = (): ProcessUsage => {
	const {user, system} = process.cpuUsage();
	return {
		processorMilliseconds: (user + system) / microsecondsPerMillisecond,
		busyMilliseconds: performance.eventLoopUtilization().active,
		heapBytes: getHeapStatistics().used_heap_size,
	};
};
