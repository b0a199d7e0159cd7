import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import type {Fleet} from './fleet.js';

const lookMilliseconds = 25;
const patienceMilliseconds = 10_000;

/**
What the daemons of a fleet say of each other.
*/
export type DetectionWatch = {
	/** Times that a daemon took another for unreachable that ran. */
	readonly falseAlarms: () => number;
	/** From now on the daemon is expected to be taken for unreachable. */
	readonly expectSilence: (instance: string) => void;
	/** Waits until every other daemon takes one for unreachable. Returns the time that each took, in milliseconds. */
	readonly untilDetected: (instance: string) => Promise<readonly number[]>;
	/** Waits until every other daemon reaches one again, from when on silence is a false alarm. */
	readonly untilReached: (instance: string) => Promise<void>;
	readonly stop: () => Promise<void>;
};

/**
Starts to watch which daemons reach which. Times are known to 25 ms.
*/
export const startDetectionWatch = (fleet: Fleet): DetectionWatch => {
	const stopping = new AbortController();
	const silent = new Set<string>();
	const unreachable = new Set<string>();
	let falseAlarms = 0;

	const note = (observer: string, instance: string, isReachable: boolean): void => {
		const pair = `${observer}>${instance}`;
		if (isReachable) {
			unreachable.delete(pair);
		} else if (!unreachable.has(pair)) {
			unreachable.add(pair);
			falseAlarms += silent.has(instance) || silent.has(observer) ? 0 : 1;
		}
	};

	const watch = async (position: number): Promise<void> => {
		while (!stopping.signal.aborted) {
			const {instance, status} = fleet.daemons[position]!;
			try {
				const {peers} = await status() as DaemonStatus;
				for (const peer of peers) {
					note(instance, peer.instance, peer.isReachable);
				}
			} catch {
				// The daemon has been killed.
			}

			await sleep(lookMilliseconds);
		}
	};

	const observersOf = (instance: string): readonly string[] => fleet.daemons.map(daemon => daemon.instance).filter(observer => observer !== instance);

	const waitFor = async (instance: string, isExpected: (pair: string) => boolean): Promise<readonly number[]> => {
		const startedAt = performance.now();
		return Promise.all(observersOf(instance).map(async observer => {
			while (!isExpected(`${observer}>${instance}`)) {
				const waited = performance.now() - startedAt;
				if (waited > patienceMilliseconds) {
					throw new Error(`${observer} did not notice the change of ${instance} within ${patienceMilliseconds} ms`);
				}

				await sleep(lookMilliseconds);
			}

			return performance.now() - startedAt;
		}));
	};

	// A frozen daemon answers no look until it goes on, so no watch is awaited.
	for (const position of fleet.daemons.keys()) {
		void watch(position);
	}

	return {
		falseAlarms: () => falseAlarms,
		expectSilence(instance) {
			silent.add(instance);
		},
		untilDetected: async instance => waitFor(instance, pair => unreachable.has(pair)),
		async untilReached(instance) {
			await waitFor(instance, pair => !unreachable.has(pair));
			silent.delete(instance);
		},
		async stop() {
			stopping.abort();
			await sleep(lookMilliseconds);
		},
	};
};
