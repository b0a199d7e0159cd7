import {performance} from 'node:perf_hooks';
import type {CellLoad} from '@galenakeel/model/connection/fleet-message.js';
import type {CellEndpoints} from './cell-endpoints.js';
import type {EndpointCapacity} from './place-tasks.js';
import type {PlacedJob} from './placed-job.js';
import {
	bestFactorOf, freeCapacitiesOf, throughputOf, waitingInTimeWorkOf,
} from './evaluate-arrival.js';

/**
Caches the available capacity and the load of a cell between changes.
*/
export type CellCapacityCache = {
	readonly available: () => readonly EndpointCapacity[];
	readonly load: () => CellLoad;
	/** Discards the cached values after endpoints or jobs have changed. */
	readonly invalidate: () => void;
};

export type CellCapacityCacheOptions = {
	readonly endpoints: Pick<CellEndpoints, 'availableCapacities' | 'kindFactors'>;
	readonly jobs: () => readonly PlacedJob[];
	/** Processor of a typical task, in thousandths of a core. */
	readonly typicalProcessor: () => number;
};

/** Age up to which a load is announced again after changes; heartbeats to all peers ask for it far more often. */
const minimumLoadAgeMilliseconds = 5;

/** Free share of the processor below which a cell counts as short of capacity. */
const shortShare = 0.25;

const freeShareOf = (capacities: readonly EndpointCapacity[]): number => {
	let free = 0;
	let total = 0;
	for (const capacity of capacities) {
		free += capacity.free.processor;
		total += capacity.total.processor;
	}

	return total > 0 ? free / total : 0;
};

/**
Creates an empty cache.

@example
```
const capacity = createCellCapacityCache({endpoints, jobs: () => [...jobs.values()], typicalProcessor: () => 1000});
capacity.available();
capacity.invalidate();
```
*/
export const createCellCapacityCache = ({endpoints, jobs, typicalProcessor}: CellCapacityCacheOptions): CellCapacityCache => {
	let cachedCapacities: readonly EndpointCapacity[] | undefined;
	let cachedLoad: CellLoad | undefined;
	let isLoadCurrent = false;
	let loadComputedAt = Number.NEGATIVE_INFINITY;

	const available = (): readonly EndpointCapacity[] => {
		cachedCapacities ??= endpoints.availableCapacities();
		return cachedCapacities;
	};

	const computeLoad = (): CellLoad => {
		const capacities = available();
		const waiting = waitingInTimeWorkOf(jobs(), bestFactorOf(capacities), performance.now());
		const backlogMilliseconds = Math.round(waiting / throughputOf(capacities));
		return {
			free: freeCapacitiesOf(capacities, typicalProcessor()),
			backlogMilliseconds,
			isShortOfCapacity: backlogMilliseconds > 0 || freeShareOf(capacities) < shortShare,
			kindFactors: endpoints.kindFactors(),
		};
	};

	return {
		available,
		load() {
			const now = performance.now();
			if (cachedLoad === undefined || (!isLoadCurrent && now - loadComputedAt >= minimumLoadAgeMilliseconds)) {
				cachedLoad = computeLoad();
				isLoadCurrent = true;
				loadComputedAt = now;
			}

			return cachedLoad;
		},
		invalidate() {
			cachedCapacities = undefined;
			isLoadCurrent = false;
		},
	};
};
