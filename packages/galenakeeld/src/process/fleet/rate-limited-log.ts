import {performance} from 'node:perf_hooks';
import type {Log} from '../log.js';

/**
Logs an event unless its number of lines per second is used up.
*/
export type RateLimitedLog = (event: string, fields: Readonly<Record<string, unknown>>) => void;

const windowMilliseconds = 1000;

type CountWindow = {startedAt: number; written: number; omitted: number};

/**
Creates a log that limits the lines of each event per second. The number of omitted lines is logged when the next line of that event follows in a later window.

@param maximumLines Maximum number of lines per event and second.

@example
```
const logEvent = createRateLimitedLog(log, 50);
logEvent(CellDecision.JobAccepted, {job: '5c0e7a21d94b36f8'});
```
*/
export const createRateLimitedLog = (log: Log, maximumLines: number): RateLimitedLog => {
	const windows = new Map<string, CountWindow>();
	return (event, fields) => {
		const now = performance.now();
		const window = windows.get(event) ?? {startedAt: now, written: 0, omitted: 0};
		windows.set(event, window);
		if (now - window.startedAt >= windowMilliseconds) {
			if (window.omitted > 0) {
				log.info({event: 'lines-left-out', of: event, count: window.omitted});
			}

			Object.assign(window, {startedAt: now, written: 0, omitted: 0});
		}

		if (window.written < maximumLines) {
			window.written++;
			log.info({event, ...fields});
		} else {
			window.omitted++;
		}
	};
};
