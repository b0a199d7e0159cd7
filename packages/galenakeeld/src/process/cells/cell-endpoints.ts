import {performance} from 'node:perf_hooks';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {lifeOf, type EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {CellEndpoint} from './cell-endpoint.js';
import {createEndpointSpeeds} from './endpoint-speeds.js';
import type {EndpointCapacity} from './place-tasks.js';

/**
The endpoints of a cell, by their lives, and how fast each is.
*/
export type CellEndpoints = {
	readonly all: () => readonly CellEndpoint[];
	readonly get: (life: string) => CellEndpoint | undefined;
	/** Expected run time over estimate at an endpoint. */
	readonly factorOf: (endpoint: CellEndpoint) => number;
	readonly kindFactors: () => Readonly<Record<string, number>>;
	readonly openRooms: () => readonly EndpointCapacity[];
	/** Stops the runs of the tasks that a test holds for. */
	readonly stopRuns: (isStopped: (task: TaskKey) => boolean) => void;
	/** Takes the endpoints as the platform lists them. */
	readonly install: (entries: readonly EndpointEntry[]) => void;
	readonly close: () => void;
};

export type CellEndpointsOptions = {
	/** What other owners have learned of kinds of endpoints. */
	readonly kindFactors: Readonly<Record<string, number>>;
	readonly createEndpoint: (entry: EndpointEntry, onRunTime: (estimateMilliseconds: number, runMilliseconds: number) => void) => CellEndpoint;
};

/**
Time in which an entry that lapsed while the store was away is back.
*/
export const lapsedEntryMilliseconds = 2500;
/** Active runs that are overdue by this much say that their endpoint has turned slow. */
const overdueRatio = 3;

/** The first label of an endpoint names its kind. */
const kindOf = ({labels}: EndpointEntry): string => labels[0] ?? '';

/**
Creates an empty set of endpoints.

@example
```
const endpoints = createCellEndpoints(options);
endpoints.install(entries);
const rooms = endpoints.openRooms();
```
*/
export const createCellEndpoints = (options: CellEndpointsOptions): CellEndpoints => {
	const endpoints = new Map<string, CellEndpoint>();
	const speeds = createEndpointSpeeds(options.kindFactors);
	/** Steady milliseconds since when the platform doesn't list an endpoint. */
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
		endpoints.set(lifeOf(entry), endpoint);
		void endpoint.run();
	};

	/** Lets an endpoint go that the platform no longer lists, once nothing runs there: entries also lapse while the store is away. */
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
		openRooms: () => [...endpoints.values()].map(endpoint => endpoint.openRoom(factorOf(endpoint))).filter(room => room !== undefined),
		stopRuns(isStopped) {
			for (const endpoint of endpoints.values()) {
				endpoint.stopRuns(isStopped);
			}
		},
		install(entries) {
			const current = new Set(entries.map(entry => lifeOf(entry)));
			for (const entry of entries) {
				const known = endpoints.get(lifeOf(entry));
				missingSince.delete(lifeOf(entry));
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
