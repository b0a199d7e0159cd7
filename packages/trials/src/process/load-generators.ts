import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {ArrivalResult} from '../request/arrival.js';
import type {GeneratorWorkload} from './load-generator.js';

const generatorProgram = fileURLToPath(import.meta.resolve('./load-generator.js'));
const generators = 3;
// Delay before the first arrival, in which the generators start and receive their workload.
const leadMilliseconds = 1500;

const runGenerator = async (workload: GeneratorWorkload): Promise<readonly ArrivalResult[]> => {
	const child = fork(generatorProgram);
	const replied = once(child, 'message') as Promise<[readonly ArrivalResult[]]>;
	const exited = (async () => {
		await once(child, 'exit');
		throw new Error('a load generator process exited without sending results');
	})();
	child.send(workload);
	try {
		const [results] = await Promise.race([replied, exited]);
		return results;
	} finally {
		exited.catch(() => undefined);
	}
};

/**
A load run in progress.
*/
export type LoadRun = {
	/** Wall-clock time at which the run starts, in milliseconds since the epoch. */
	readonly startAt: number;
	/** Result of each arrival, in the order of the workload's arrivals. */
	readonly results: Promise<readonly ArrivalResult[]>;
};

/**
Starts a load run: divides the arrivals between several generator processes, which send each arrival when it is due.

@example
```
const results = await startLoad({addresses, path: '/v1/services/paysheet/sheet', arrivals, deadlineMilliseconds: 30_000}).results;
```
*/
export const startLoad = (workload: Omit<GeneratorWorkload, 'startAt'>): LoadRun => {
	const startAt = Date.now() + leadMilliseconds;
	const parts = Array.from({length: generators}, (_, part) => workload.arrivals.filter((_arrival, position) => position % generators === part));
	const gather = async (): Promise<readonly ArrivalResult[]> => {
		const results = await Promise.all(parts.map(async arrivals => runGenerator({...workload, arrivals, startAt})));
		return workload.arrivals.map((_, position) => results[position % generators]![Math.floor(position / generators)]!);
	};

	return {startAt, results: gather()};
};
