import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import type {ArrivalResult} from '../request/arrival.js';
import type {GeneratorWorkload} from './load-generator.js';

const generatorProgram = fileURLToPath(import.meta.resolve('./load-generator.js'));
const generators = 3;
// Time for the generators to start and to read their arrivals.
const leadMilliseconds = 1500;

const runGenerator = async (workload: GeneratorWorkload): Promise<readonly ArrivalResult[]> => {
	const child = fork(generatorProgram);
	const replied = once(child, 'message') as Promise<[readonly ArrivalResult[]]>;
	const exited = (async () => {
		await once(child, 'exit');
		throw new Error('a load generator ended without results');
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
A run of load in progress.
*/
export type LoadRun = {
	/** Wall-clock time of the run's start, in milliseconds since the epoch. */
	readonly startAt: number;
	/** The result of each arrival, in the order of the arrivals. */
	readonly results: Promise<readonly ArrivalResult[]>;
};

/**
Starts to send arrivals from several processes, each arrival at its time.

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
