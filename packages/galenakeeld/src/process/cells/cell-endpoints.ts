import {performance} from 'node:perf_hooks';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {incarnationOf, type EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {CellEndpoint} from './cell-endpoint.js';
import {createEndpointSpeeds} from './endpoint-speeds.js';
import type {EndpointCapacity} from './place-tasks.js';

/**
The endpoints of a cell by incarnation, and the speed of each.
*/
export type CellEndpoints = {
	readonly all: () => readonly CellEndpoint[];
	readonly get: (incarnation: string) => CellEndpoint | undefined;
	/** Expected run time over estimate at an endpoint. */
	readonly factorOf: (endpoint: CellEndpoint) => number;
	readonly kindFactors: () => Readonly<Record<string, number>>;
	readonly availableCapacities: () => readonly EndpointCapacity[];
	/** Stops the runs of the tasks for which `isStopped` returns true. */
	readonly stopRuns: (isStopped: (task: TaskKey) => boolean) => void;
	/** Extends leases that a holder's missing confirmation has limited. */
	readonly extendShortLeases: () => void;
	/** Jobs with a run that no job of the cell waits for. */
	readonly strayJobs: () => ReadonlySet<string>;
	/** Installs the endpoints that the platform lists. */
	readonly install: (entries: readonly EndpointEntry[]) => void;
	readonly close: () => void;
};

export type CellEndpointsOptions = {
	/** What other owners have learned of kinds of endpoints. */
	readonly kindFactors: Readonly<Record<string, number>>;
	readonly createEndpoint: (entry: EndpointEntry, onRunTime: (estimateMilliseconds: number, runMilliseconds: number) => void) => CellEndpoint;
};

/**
Time within which an entry that lapsed during a store outage is listed again.
*/
export const lapsedEntryMilliseconds = 2500;
/** If all active runs exceed their expected time by this factor, the endpoint has become slow. */
const overdueRatio = 3;

/** The first label of an endpoint names its kind. */
const kindOf = ({labels}: EndpointEntry): string => labels[0] ?? '';

/**
Creates an empty set of endpoints.

@example
```
const endpoints = createCellEndpoints(options);
endpoints.install(entries);
const capacities = endpoints.availableCapacities();
```
*/
export const createCellEndpoints = (options: CellEndpointsOptions): CellEndpoints => {
	const endpoints = new Map<string, CellEndpoint>();
	const speeds = createEndpointSpeeds(options.kindFactors);
	/** Monotonic milliseconds since when the platform no longer lists an endpoint. */
	const missingSince = new Map<string, number>();

	const factorOf = (endpoint: CellEndpoint): number => {
		const entry = endpoint.entry();
		const learned = speeds.factorOf(entry.identifier, kindOf(entry));
		const overdue = endpoint.overdueFactor();
		return overdue > overdueRatio * learned ? overdue : learned;
	};

	const add = (entry: EndpointEntry): void => {
		const endpoint = options.createEndpoint(entry, (estimateMilliseconds, runMilliseconds) => {
			speeds.record(entry.identifier, kindOf(entry), estimateMilliseconds, runMilliseconds);
		});
		endpoints.set(incarnationOf(entry), endpoint);
		void endpoint.run();
	};

	/** Drains an endpoint that the platform no longer lists and removes it once idle, after a delay: entries also lapse during a store outage. */
	const retire = (life: string, endpoint: CellEndpoint): void => {
		const since = missingSince.get(life) ?? performance.now();
		missingSince.set(life, since);
		if (performance.now() - since < lapsedEntryMilliseconds) {
			return;
		}

		endpoint.update({...endpoint.entry(), isDraining: true});
		if (endpoint.isIdle()) {
			endpoint.close();
			speeds.forget(endpoint.entry().identifier);
			endpoints.delete(life);
			missingSince.delete(life);
		}
	};

	return {
		all: () => [...endpoints.values()],
		get: life => endpoints.get(life),
		factorOf,
		kindFactors: speeds.kindFactors,
		availableCapacities() {
			const capacities: EndpointCapacity[] = [];
			for (const endpoint of endpoints.values()) {
				const capacity = endpoint.availableCapacity(factorOf(endpoint));
				if (capacity) {
					capacities.push(capacity);
				}
			}

			return capacities;
		},
		stopRuns(isStopped) {
			for (const endpoint of endpoints.values()) {
				endpoint.stopRuns(isStopped);
			}
		},
		extendShortLeases() {
			for (const endpoint of endpoints.values()) {
				endpoint.extendShortLease();
			}
		},
		strayJobs() {
			const jobs = new Set<string>();
			for (const endpoint of endpoints.values()) {
				for (const job of endpoint.strayJobs()) {
					jobs.add(job);
				}
			}

			return jobs;
		},
		install(entries) {
			const current = new Set(entries.map(entry => incarnationOf(entry)));
			for (const entry of entries) {
				const known = endpoints.get(incarnationOf(entry));
				missingSince.delete(incarnationOf(entry));
				if (known) {
					known.update(entry);
				} else {
					add(entry);
				}
			}

			for (const [life, endpoint] of endpoints) {
				if (!current.has(life)) {
					retire(life, endpoint);
				}
			}
		},
		close() {
			for (const endpoint of endpoints.values()) {
				endpoint.close();
			}
		},
	};
};
