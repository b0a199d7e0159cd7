import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoreCalls} from '@galenakeel/model/connection/store-calls.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';

/**
The active configuration of this daemon. Its version only increases.
*/
export type ConfigurationWatch = {
	readonly current: () => QueueConfiguration | undefined;
	/** Installs a configuration received from a peer if it is newer. */
	readonly offer: (configuration: QueueConfiguration) => void;
	/** Reads the configuration from the store, whatever the watch does. Rejects as the store's calls do. */
	readonly read: () => Promise<void>;
	/** Milliseconds since the store last confirmed the configuration. */
	readonly ageMilliseconds: () => number;
	/** Watches the store until `close` is called. */
	readonly run: () => Promise<void>;
	readonly close: () => void;
};

/** Time for which a call waits for a change in a small fleet. The store confirms the configuration at the end of each call. */
const awaitChangeMilliseconds = 800;
const maximumAwaitMilliseconds = 1800;
const retryMilliseconds = 150;
/** Number of daemons by which the wait grows. */
const daemonsPerWait = 10;
/** Interval at which some daemon of the fleet reads the configuration, since a watch of the store can miss changes. The others hear of the version from that one. */
const fleetReadIntervalMilliseconds = 160;
/** Number of daemons up to which each reads as often as one of so many. */
const smallFleetDaemons = 10;

/**
Returns for how long one of several daemons waits for a change.

@example
```
awaitChangeFor(31); // => 1800
```
*/
export const awaitChangeFor = (daemons: number): number =>
	Math.min(maximumAwaitMilliseconds, awaitChangeMilliseconds * Math.max(1, Math.floor(daemons / daemonsPerWait)));

/**
Returns how often one of several daemons reads the configuration from the store, in milliseconds. All together read equally often in a fleet of any size.

@example
```
readIntervalFor(31); // => 4960
```
*/
export const readIntervalFor = (daemons: number): number => fleetReadIntervalMilliseconds * Math.max(smallFleetDaemons, daemons);

/**
Creates a watch of the configuration in the store.

@example
```
const watch = createConfigurationWatch(store, {onInstall, onLost, onRegained, daemons: () => 9, random: Math.random});
void watch.run();
```
*/
export const createConfigurationWatch = (store: Pick<StoreCalls, 'awaitConfiguration' | 'readConfiguration'>, handlers: {
	readonly onInstall: (configuration: QueueConfiguration) => void;
	/** Called once per outage, when a call of the store first fails. */
	readonly onLost: (detail: string) => void;
	readonly onRegained: () => void;
	/** Number of daemons that announce newer versions to each other, this one included. */
	readonly daemons: () => number;
	/** Returns a number from 0 to 1, by which the reads of the daemons are spread over their interval. */
	readonly random: () => number;
}): ConfigurationWatch => {
	let current: QueueConfiguration | undefined;
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let revision = 0;
	/** Monotonic milliseconds. */
	let lastReadAt = Number.NEGATIVE_INFINITY;
	/** Part of the interval after which the next read is due. */
	let intervalShare = 1;
	let isLost = false;
	const closing = new AbortController();

	const install = (configuration: QueueConfiguration): void => {
		if (current && configuration.version <= current.version) {
			return;
		}

		current = configuration;
		handlers.onInstall(configuration);
	};

	const confirm = (): void => {
		confirmedAt = performance.now();
		if (isLost) {
			isLost = false;
			handlers.onRegained();
		}
	};

	const read = async (): Promise<void> => {
		const stored = await store.readConfiguration();
		confirm();
		if (stored) {
			revision = stored.revision;
			install(stored.configuration);
		}
	};

	/** The interval is that of the present number of daemons, of which a daemon knows none at its start. */
	const millisecondsUntilRead = (): number => lastReadAt + (intervalShare * readIntervalFor(handlers.daemons())) - performance.now();

	/** Reads at the same time as other daemons, as at their start. The next read is due at a random time of the interval. */
	const readWithOthers = async (): Promise<void> => {
		lastReadAt = performance.now();
		intervalShare = handlers.random();
		await read();
		if (!current) {
			await sleep(retryMilliseconds);
		}
	};

	const readInTurn = async (): Promise<void> => {
		lastReadAt = performance.now();
		intervalShare = 1;
		await read();
	};

	const wait = async (): Promise<void> => {
		const untilRead = Math.max(1, Math.ceil(millisecondsUntilRead()));
		const change = await store.awaitConfiguration(revision, Math.min(awaitChangeFor(handlers.daemons()), untilRead));
		confirm();
		if (change.isHistoryGone) {
			await readWithOthers();
			return;
		}

		({revision} = change);
		if (change.configuration) {
			install(change.configuration);
		}
	};

	const followStore = async (): Promise<void> => {
		if (!current) {
			await readWithOthers();
		} else if (millisecondsUntilRead() <= 0) {
			await readInTurn();
		} else {
			await wait();
		}
	};

	return {
		current: () => current,
		offer: install,
		read,
		ageMilliseconds: () => performance.now() - confirmedAt,
		async run() {
			while (!closing.signal.aborted) {
				try {
					await followStore();
				} catch (error) {
					if (!isLost) {
						isLost = true;
						handlers.onLost(detailOf(error));
					}

					await sleep(retryMilliseconds);
				}
			}
		},
		close() {
			closing.abort();
		},
	};
};
