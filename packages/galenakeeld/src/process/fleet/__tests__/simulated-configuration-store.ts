import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ConfigurationChange, StoreCalls, StoredConfiguration} from '@galenakeel/model/connection/store-calls.js';
import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';

/**
How the store serves a daemon.
*/
export enum StoreService {
	/** Calls are answered, watches report each change. */
	Full = 'full',
	/** Calls are answered, watches miss the change. */
	MissedChange = 'missed-change',
	/** The history is dropped with the change, so the waits end without it; then reads are answered from an older state for a while. */
	StaleReads = 'stale-reads',
	/** No call is answered. */
	None = 'none',
}

/**
A store of configurations on the clock of the test.
*/
export type SimulatedConfigurationStore = {
	/** Acknowledges a version now. */
	readonly write: (version: number) => void;
	/** The calls of one daemon. */
	readonly callsFor: (daemon: string, receive: () => Promise<void>) => Pick<StoreCalls, 'readConfiguration' | 'awaitConfiguration'>;
};

type Written = {readonly version: number; readonly revision: number; readonly at: number};

const answerMilliseconds = 4;
/** Rows of other tables change too, which raises the store's revision. */
const otherChanges = 3;

export const createConfiguration = (version: number): QueueConfiguration => ({
	version, queues: [], unreadableQueues: 0, limits: {
		headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1,
	},
});

/**
Creates a store with version 1.

@param serviceOf How the store serves a daemon.
@param staleMilliseconds How far the answers to reads are behind under `StaleReads`.
*/
export const createSimulatedConfigurationStore = (serviceOf: (daemon: string) => StoreService, staleMilliseconds = 0): SimulatedConfigurationStore => {
	const written: Written[] = [{version: 1, revision: 1, at: Number.NEGATIVE_INFINITY}];
	const waiting = new Set<() => void>();

	const latest = (): Written => written.at(-1)!;

	const toStored = ({version, revision}: Written): StoredConfiguration => ({revision: revision + otherChanges, configuration: createConfiguration(version)});

	const awaitWrite = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		const wake = (): void => {
			clearTimeout(timer);
			waiting.delete(wake);
			resolve();
		};

		const timer = setTimeout(wake, milliseconds);
		waiting.add(wake);
	});

	const answer = async (daemon: string): Promise<StoreService> => {
		await sleep(answerMilliseconds);
		if (serviceOf(daemon) === StoreService.None) {
			throw new Error('the store turns this daemon away');
		}

		return serviceOf(daemon);
	};

	return {
		write(version) {
			written.push({version, revision: latest().revision + otherChanges + 1, at: performance.now()});
			for (const wake of waiting) {
				wake();
			}
		},
		callsFor: (daemon, receive) => ({
			async readConfiguration() {
				const service = await answer(daemon);
				const until = service === StoreService.StaleReads ? performance.now() - staleMilliseconds : performance.now();
				const stored = toStored(written.findLast(({at}) => at <= until)!);
				await receive();
				return stored;
			},
			async awaitConfiguration(revision, waitMilliseconds): Promise<ConfigurationChange> {
				const service = await answer(daemon);
				const known = latest();
				if (known.revision <= revision) {
					await awaitWrite(waitMilliseconds);
				}

				if (latest().revision <= revision || service === StoreService.MissedChange) {
					return {revision: latest().revision + otherChanges, isHistoryGone: false};
				}

				if (service === StoreService.StaleReads) {
					return {revision, isHistoryGone: true};
				}

				const stored = toStored(latest());
				await receive();
				return {...stored, isHistoryGone: false};
			},
		}),
	};
};
