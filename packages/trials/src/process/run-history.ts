import {checkHistory, type Violation} from '../request/check-history.js';
import {createHistory} from '../request/history.js';
import {createRandom} from '../request/random.js';
import type {ProvePoint} from '../version/prove-point.js';
import type {FaultHistory} from './fault-history.js';

/**
Position of a history among those of its point, counted from 0, and its seed.
*/
export type HistoryPlace = {readonly point: ProvePoint; readonly position: number; readonly seed: number};

/**
The result of one history.
*/
export type HistoryRun = {
	/** Command that runs this history alone, with the same seed. */
	readonly command: string;
	readonly operations: number;
	readonly violations: readonly Violation[];
};

/**
Runs one history and checks it. A history that throws proves nothing and counts as a violation.

@example
```
const {violations} = await runHistory(faultHistories['starts-once'][0], {point: ProvePoint.StartsOnce, position: 0, seed: 1});
```
*/
export const runHistory = async (faultHistory: FaultHistory, {point, position, seed}: HistoryPlace): Promise<HistoryRun> => {
	// The seed of a history is the seed of the run plus its position.
	const command = `npm run prove -- --point ${point} --history ${position + 1} --seed ${seed - position}`;
	const history = createHistory();
	try {
		const extra = await faultHistory(history, createRandom(seed));
		return {command, operations: history.operations.length + history.accepts.length, violations: [...checkHistory(history), ...extra]};
	} catch (error) {
		const detail = `the history threw an error: ${error instanceof Error ? error.stack ?? error.message : String(error)}`;
		return {command, operations: 0, violations: [{point, detail}]};
	}
};
