import {performance} from 'node:perf_hooks';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';

/**
The endpoints of a cell as last listed, and those that a list has lacked for a short time only. Entries lapse during a store outage although their endpoints run on. An endpoint that has restarted is listed with its present incarnation only.
*/
export type ListedEndpoints = {
	readonly install: (entries: readonly EndpointEntry[]) => void;
	/** The latest list; undefined before the first one. */
	readonly latest: () => readonly EndpointEntry[] | undefined;
	/** Endpoints that are missing in the latest list, but may still run tasks. */
	readonly lapsed: () => readonly EndpointEntry[];
};

/**
Creates an empty record.

@param lapseMilliseconds Time after which an endpoint that is no longer listed counts as gone.

@example
```
const listed = createListedEndpoints(2500);
listed.install(entries);
listed.latest();
```
*/
export const createListedEndpoints = (lapseMilliseconds: number): ListedEndpoints => {
	let latest: readonly EndpointEntry[] | undefined;
	let lapsed: ReadonlyArray<{readonly entry: EndpointEntry; readonly at: number}> = [];

	return {
		install(entries) {
			const now = performance.now();
			const listed = new Set(entries.map(({identifier}) => identifier));
			const missing = (latest ?? []).filter(({identifier}) => !listed.has(identifier));
			lapsed = [
				...lapsed.filter(({entry, at}) => now - at <= lapseMilliseconds && !listed.has(entry.identifier)),
				...missing.map(entry => ({entry, at: now})),
			];
			latest = entries;
		},
		latest: () => latest,
		lapsed: () => lapsed.filter(({at}) => performance.now() - at <= lapseMilliseconds).map(({entry}) => entry),
	};
};
