import {performance} from 'node:perf_hooks';
import type {Log} from '../log.js';

/**
Writes a line for each decision, at most so many of one event in a second.
*/
export type RateLimitedLog = (event: string, fields: Readonly<Record<string, unknown>>) => void;

const windowMilliseconds = 1000;

type CountWindow = {startedAt: number; written: number; omitted: number};

/**
Creates a log of decisions. Lines that were left out are counted in a line of their own.

@param maximumLines Lines of one event in a second.

@example
```
const decide = createDecisionLog(log, 50);
decide(CellDecision.JobTaken, {job: '5c0e7a21d94b36f8'});
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

			Object.assign(window, {since: now, written: 0, left: 0});
		}

		if (window.written < maximumLines) {
			window.written++;
			log.info({event, ...fields});
		} else {
			window.omitted++;
		}
	};
};
