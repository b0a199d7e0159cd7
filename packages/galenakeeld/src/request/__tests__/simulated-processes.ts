/**
Processes that share the runtime's paused clock, each with an event loop of its own. Each may stand still, or be slow: its actions then take time.
*/
import {AsyncLocalStorage} from 'node:async_hooks';
import {syncBuiltinESMExports} from 'node:module';
import {performance} from 'node:perf_hooks';
import timersPromises from 'node:timers/promises';
import {install} from '@sinonjs/fake-timers';
import type {SeededRandom} from './seeded-random.js';
import {createSimulatedTurns} from './simulated-turns.js';

/**
A process. Whatever is called inside of it keeps to it, also after an await, and in its timers.
*/
export type SimulatedProcess = {
	readonly name: string;
	/** Performs an action inside the process at once, between two others. */
	readonly performNow: (action: () => void) => void;
	/** Performs an action when the process reads what has arrived from a source, for instance at a socket. The actions of one source keep their order. */
	readonly execute: (source: string, action: () => void) => void;
	/** The same; what follows from the source is read in a later turn of the event loop. */
	readonly executeLast: (source: string, action: () => void) => void;
	readonly stop: () => void;
	readonly resume: () => void;
	/** Sets how long an action takes, in milliseconds; by default it takes little. */
	readonly setActionTime: (drawMilliseconds: (() => number) | undefined) => void;
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
/** Probability that an action of a fast process takes a millisecond rather than nothing. */
const millisecondProbability = 0.1;
const replacedTimers = ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'setImmediate', 'clearImmediate'] as const;

type Callback = (...values: readonly unknown[]) => void;
type SetTimer = (...values: readonly unknown[]) => unknown;
type RunningProcess = {
	readonly process: SimulatedProcess;
	readonly addTimer: (action: () => void) => void;
	readonly addImmediate: (action: () => void) => void;
	readonly hasActions: () => boolean;
	readonly performNext: () => void;
};

/**
Pauses the runtime's clock and creates processes on it. Only one may exist at a time.

@example
```
const processes = createSimulatedProcesses(random);
const daemon = processes.create('north-1');
daemon.execute('caller 1', () => cell.submit(holder, order));
await processes.runUntil(1000);
processes.uninstall();
```
*/
export const createSimulatedProcesses = (random: SeededRandom): SimulatedProcesses => {
	const realSetImmediate = globalThis.setImmediate;
	const realSleep = timersPromises.setTimeout;
	const clock = install({now: startAt, toFake: ['performance', 'Date', ...replacedTimers], shouldClearNativeTimers: true});
	const paused = Object.fromEntries(replacedTimers.map(name => [name, globalThis[name]])) as Record<typeof replacedTimers[number], SetTimer>;
	const current = new AsyncLocalStorage<RunningProcess | undefined>();
	const all: RunningProcess[] = [];
	/** Timers that were cleared while their callback waited for a process. */
	const clearedTimers = new WeakSet();

	const awaitMicrotasks = async (): Promise<void> => new Promise(resolve => {
		realSetImmediate(resolve);
	});

	/** Replaces a function that sets a timer by one whose callback keeps to the process. */
	const keepToProcess = (set: SetTimer, isRepeated: boolean) => (callback: Callback, ...values: readonly unknown[]): unknown => {
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
			process.addTimer(() => {
				isWaiting = false;
				if (!clearedTimers.has(timer as Record<string, unknown>)) {
					callback(...passed);
				}
			});
		}, ...values);
		return timer;
	};

	const setImmediateOfProcess = (callback: Callback, ...values: readonly unknown[]): unknown => {
		const process = current.getStore();
		if (!process) {
			return paused.setImmediate(callback, ...values);
		}

		const immediate = {};
		process.addImmediate(() => {
			if (!clearedTimers.has(immediate)) {
				callback(...values);
			}
		});
		return immediate;
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
		setImmediate: setImmediateOfProcess,
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
		const turns = createSimulatedTurns(random);
		let isStopped = false;
		/** Monotonic milliseconds up to which the last action takes. */
		let busyUntil = 0;
		const drawUsual = (): number => random.isChosen(millisecondProbability) ? 1 : 0;
		let drawMilliseconds = drawUsual;

		const process: SimulatedProcess = {
			name,
			performNow(action) {
				current.run(running, action);
			},
			execute(source, action) {
				turns.addArrival(source, action, false);
			},
			executeLast(source, action) {
				turns.addArrival(source, action, true);
			},
			stop() {
				isStopped = true;
			},
			resume() {
				isStopped = false;
			},
			setActionTime(draw) {
				drawMilliseconds = draw ?? drawUsual;
			},
		};

		const running: RunningProcess = {
			process,
			addTimer: turns.addTimer,
			addImmediate: turns.addImmediate,
			hasActions: () => !isStopped && performance.now() >= busyUntil && turns.hasActions(),
			performNext() {
				const {action, isContinued} = turns.takeAction();
				const milliseconds = isContinued ? 0 : drawMilliseconds();
				busyUntil = performance.now() + milliseconds;
				if (milliseconds > 0) {
					// The clock goes from timer to timer.
					paused.setTimeout(() => {
						// Only the time counts.
					}, milliseconds);
				}

				current.run(running, action);
			},
		};
		all.push(running);
		return process;
	};

	/** Performs the next action of a process that has one, or the next timer. */
	const step = (): void => {
		const ready = all.filter(({hasActions}) => hasActions());
		if (ready.length > 0) {
			random.pick(ready).performNext();
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
