import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {drawJob, type GrownJob} from '../request/grown-job.js';
import {createRandom} from '../request/random.js';
import {planArrivals, type WaveLoad} from '../version/grown-plan.js';
import type {Spread} from '../version/grown-site.js';
import type {PlatformDaemon} from './platform-fleet.js';

/**
A caller, which keeps its connections to one daemon until a call there has no answer.
*/
export type Caller = {
	readonly agent: Agent;
	daemon: PlatformDaemon;
};

/**
The callers of a zone.

@typeParam Submitted What is recorded of a job that was submitted.
*/
export type ZoneCallersOptions<Submitted> = {
	readonly callers: number;
	/** Daemons that callers connect to at first. */
	readonly daemons: readonly PlatformDaemon[];
	/** Daemons that callers move to after a call without an answer. */
	readonly otherDaemons: readonly PlatformDaemon[];
	readonly wave: WaveLoad;
	readonly seed: number;
	/** Number of the first job; the numbers of two zones must not overlap. */
	readonly firstNumber: number;
	/** Processor demand of a task, in thousandths of a core. */
	readonly processorOfTask: Spread;
	/** Submits a job until its outcome is known. `move` moves the caller to another daemon. */
	readonly submit: (caller: Caller, job: GrownJob, move: () => void, arrivedAt: number) => Promise<Submitted>;
};

/**
Submits the jobs of a zone at their planned times, whether or not earlier ones were answered, and resolves with all of them once the last has ended.

@example
```
const submitted = await runZoneCallers({callers: 20, daemons, otherDaemons: daemons, wave, seed: 7, firstNumber: 1, processorOfTask, submit});
```
*/
export const runZoneCallers = async <Submitted>(options: ZoneCallersOptions<Submitted>): Promise<readonly Submitted[]> => {
	const {seed, wave, firstNumber, processorOfTask, submit} = options;
	const random = createRandom(seed);
	const callers: readonly Caller[] = Array.from({length: options.callers}, () => ({agent: new Agent({keepAlive: true}), daemon: random.pick(options.daemons)}));
	// Draws of its own, so that broken connections don't change the jobs.
	const moves = createRandom(seed + 1);
	const startedAt = performance.now();
	const open: Array<Promise<Submitted>> = [];
	for (const [position, arrivedAt] of planArrivals(seed, wave).entries()) {
		const waitMilliseconds = startedAt + arrivedAt - performance.now();
		if (waitMilliseconds > 0) {
			await sleep(waitMilliseconds);
		}

		const job = drawJob(random, firstNumber + position, processorOfTask);
		const caller = random.pick(callers);
		open.push(submit(caller, job, () => {
			caller.daemon = moves.pick(options.otherDaemons);
		}, arrivedAt));
	}

	const submitted = await Promise.all(open);
	for (const {agent} of callers) {
		agent.destroy();
	}

	return submitted;
};
