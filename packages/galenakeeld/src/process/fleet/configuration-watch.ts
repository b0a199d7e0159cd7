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
/** Interval of reads in a small fleet: a watch of the store can miss changes. */
const readIntervalMilliseconds = 1200;
/** Number of daemons by which both times grow, since each passes on newer versions to the others. */
const daemonsPerInterval = 10;
const maximumReadIntervalMilliseconds = 10_000;

/** Lengthens a time in proportion to the fleet, up to a maximum. */
const forFleet = (milliseconds: number, maximumMilliseconds: number, daemons: number): number =>
	Math.min(maximumMilliseconds, milliseconds * Math.max(1, Math.floor(daemons / daemonsPerInterval)));

/**
Returns for how long one of several daemons waits for a change.

@example
```
awaitChangeFor(31); // => 1800
```
*/
export const awaitChangeFor = (daemons: number): number => forFleet(awaitChangeMilliseconds, maximumAwaitMilliseconds, daemons);

/**
Returns how often one of several daemons reads the configuration from the store.

@example
```
readIntervalFor(31); // => 3600
```
*/
export const readIntervalFor = (daemons: number): number => forFleet(readIntervalMilliseconds, maximumReadIntervalMilliseconds, daemons);

/**
Creates a watch of the configuration in the store.

@example
```
const watch = createConfigurationWatch(store, {onInstall, onLost, onRegained, daemons: () => 9});
void watch.run();
```
*/
export const createConfigurationWatch = (store: StoreCalls, handlers: {
	readonly onInstall: (configuration: QueueConfiguration) => void;
	/** Called once per outage, when a call of the store first fails. */
	readonly onLost: (detail: string) => void;
	readonly onRegained: () => void;
	/** Number of daemons that pass on newer versions, this one included. */
	readonly daemons: () => number;
}): ConfigurationWatch => {
	let current: QueueConfiguration | undefined;
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let revision = 0;
	let readAt = Number.NEGATIVE_INFINITY;
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
		readAt = performance.now();
		const stored = await store.readConfiguration();
		confirm();
		if (stored) {
			revision = stored.revision;
			install(stored.configuration);
		} else {
			await sleep(retryMilliseconds);
		}
	};

	const wait = async (): Promise<void> => {
		const change = await store.awaitConfiguration(revision, awaitChangeFor(handlers.daemons()));
		confirm();
		if (change.isHistoryGone) {
			await read();
			return;
		}

		({revision} = change);
		if (change.configuration) {
			install(change.configuration);
		}
	};

	return {
		current: () => current,
		offer: install,
		ageMilliseconds: () => performance.now() - confirmedAt,
		async run() {
			while (!closing.signal.aborted) {
				try {
					await (current === undefined || performance.now() - readAt > readIntervalFor(handlers.daemons()) ? read() : wait());
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
