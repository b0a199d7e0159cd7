/**
Processes that share the runtime's paused clock. Each may stand still: its timers and inboxes stop, while time goes on.
*/
import {AsyncLocalStorage} from 'node:async_hooks';
import {syncBuiltinESMExports} from 'node:module';
import {performance} from 'node:perf_hooks';
import timersPromises from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import type {SeededRandom} from './seeded-random.js';

/**
A process. Whatever is called inside of it keeps to it, also after an await, and in its timers.
*/
export type SimulatedProcess = {
	readonly name: string;
	/** Performs an action inside the process, later if it stands still. The actions of one source keep their order; those of several sources that have waited are performed in any order. */
	readonly execute: (source: string, action: () => void) => void;
	readonly stop: () => void;
	readonly resume: () => void;
	/** How long the process has stood still in all, in milliseconds. */
	readonly stoppedMilliseconds: () => number;
};

/**
The paused clock and its processes.
*/
export type SimulatedProcesses = {
	readonly create: (name: string) => SimulatedProcess;
	/** Performs an action outside of all processes, where time never stops. */
	readonly outside: <Result>(action: () => Result) => Result;
	/** Lets time pass up to a moment, in monotonic milliseconds. */
	readonly runUntil: (milliseconds: number) => Promise<void>;
	/** Gives the runtime its clock back. */
	readonly uninstall: () => void;
};

/** Unix milliseconds at the start. */
const startAt = 1_000_000;
const timerSource = 'timers';
/** Probability that a timer that is due goes before what has waited for a process. */
const timerFirstProbability = 0.3;
const replacedTimers = ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate'] as const;

type Callback = (...values: readonly unknown[]) => void;
type WaitingProcess = {readonly hasWaiting: () => boolean; readonly performWaiting: () => void};

/**
Pauses the runtime's clock and creates processes on it. Only one may exist at a time.

@example
```
const processes = createSimulatedProcesses(random);
const daemon = processes.create('north-1');
daemon.execute('callers', () => cell.submit(holder, order));
await processes.runUntil(1000);
processes.uninstall();
```
*/
export const createSimulatedProcesses = (random: SeededRandom): SimulatedProcesses => {
	const realSetImmediate = globalThis.setImmediate;
	const realSleep = timersPromises.setTimeout;
	const clock = install({now: startAt, toFake: ['performance', 'Date', ...replacedTimers], shouldClearNativeTimers: true});
	const paused = Object.fromEntries(replacedTimers.map(name => [name, globalThis[name]])) as Record<typeof replacedTimers[number], (...values: readonly unknown[]) => unknown>;
	const current = new AsyncLocalStorage<SimulatedProcess | undefined>();
	const all: WaitingProcess[] = [];
	/** Timers that were cleared while their callback waited for a process. */
	const clearedTimers = new WeakSet();

	const awaitMicrotasks = async (): Promise<void> => new Promise(resolve => {
		realSetImmediate(resolve);
	});

	/** Replaces a function that sets a timer by one whose callback keeps to the process. */
	const keepToProcess = (set: (...values: readonly unknown[]) => unknown, isRepeated: boolean) => (callback: Callback, ...values: readonly unknown[]): unknown => {
		const process = current.getStore();
		if (!process) {
			return set(callback, ...values);
		}

		let isWaiting = false;
		const timer = set((...passed: readonly unknown[]) => {
			// An interval that was missed several times calls back once.
			if (isRepeated && isWaiting) {
				return;
			}

			isWaiting = true;
			process.execute(timerSource, () => {
				isWaiting = false;
				if (!clearedTimers.has(timer as Record<string, unknown>)) {
					callback(...passed);
				}
			});
		}, ...values);
		return timer;
	};

	const clearWith = (clear: (...values: readonly unknown[]) => unknown) => (timer: unknown): void => {
		if (typeof timer === 'object' && timer !== null) {
			clearedTimers.add(timer);
		}

		clear(timer);
	};

	Object.assign(globalThis, {
		setTimeout: keepToProcess(paused.setTimeout, false),
		setInterval: keepToProcess(paused.setInterval, true),
		setImmediate: keepToProcess(paused.setImmediate, false),
		clearTimeout: clearWith(paused.clearTimeout),
		clearInterval: clearWith(paused.clearInterval),
		clearImmediate: clearWith(paused.clearImmediate),
	});
	Object.assign(timersPromises, {
		setTimeout: async (milliseconds: number) => new Promise(resolve => {
			globalThis.setTimeout(resolve, milliseconds);
		}),
	});
	syncBuiltinESMExports();

	const create = (name: string): SimulatedProcess => {
		/** What waits for the process, by source. */
		const waiting = new Map<string, Array<() => void>>();
		let stoppedAt: number | undefined;
		let stoppedMilliseconds = 0;

		const process: SimulatedProcess = {
			name,
			execute(source, action) {
				if (stoppedAt === undefined && waiting.size === 0) {
					current.run(process, action);
				} else {
					waiting.set(source, [...waiting.get(source) ?? [], action]);
				}
			},
			stop() {
				stoppedAt ??= performance.now();
			},
			resume() {
				stoppedMilliseconds += performance.now() - (stoppedAt ?? performance.now());
				stoppedAt = undefined;
			},
			stoppedMilliseconds: () => stoppedMilliseconds,
		};

		all.push({
			hasWaiting: () => stoppedAt === undefined && waiting.size > 0,
			performWaiting() {
				const source = random.pick([...waiting.keys()]);
				const [action, ...rest] = waiting.get(source)!;
				if (rest.length > 0) {
					waiting.set(source, rest);
				} else {
					waiting.delete(source);
				}

				current.run(process, action!);
			},
		});
		return process;
	};

	/** Performs the next action that has waited, or the next timer. */
	const step = (): void => {
		const ready = all.filter(({hasWaiting}) => hasWaiting());
		if (ready.length > 0 && !random.isChosen(timerFirstProbability)) {
			random.pick(ready).performWaiting();
		} else {
			clock.next();
		}
	};

	return {
		create,
		outside: action => current.run(undefined, action),
		async runUntil(milliseconds) {
			// The clock goes from timer to timer, so there has to be one at the end.
			paused.setTimeout(() => {
				// Only the time counts.
			}, milliseconds - performance.now());
			while (performance.now() < milliseconds) {
				step();
				await awaitMicrotasks();
			}
		},
		uninstall() {
			Object.assign(globalThis, paused);
			clock.uninstall();
			Object.assign(timersPromises, {setTimeout: realSleep});
			syncBuiltinESMExports();
		},
	};
};
