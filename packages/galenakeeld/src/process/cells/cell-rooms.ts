import {performance} from 'node:perf_hooks';
import type {CellLoad} from '@galenakeel/model/connection/fleet-message.js';
import type {CellEndpoints} from './cell-endpoints.js';
import type {EndpointCapacity} from './place-tasks.js';
import type {PlacedJob} from './placed-job.js';
import {
	bestFactorOf, freeCapacitiesOf, throughputOf, waitingInTimeWorkOf,
} from './evaluate-arrival.js';

/**
The open rooms of a cell and its load, worked out once after each change.
*/
export type CellRooms = {
	readonly open: () => readonly EndpointCapacity[];
	readonly load: () => CellLoad;
	/** Notes that endpoints or jobs have changed. */
	readonly forget: () => void;
};

export type CellRoomsOptions = {
	readonly endpoints: Pick<CellEndpoints, 'openRooms' | 'kindFactors'>;
	readonly jobs: () => readonly PlacedJob[];
	/** Thousandths of a core of a task of the usual size. */
	readonly usualProcessor: () => number;
};

/**
Creates rooms of which nothing was worked out yet.

@example
```
const rooms = createCellRooms({endpoints, jobs: () => [...jobs.values()], usualProcessor: () => 1000});
rooms.open();
rooms.forget();
```
*/
export const createCellRooms = ({endpoints, jobs, usualProcessor}: CellRoomsOptions): CellRooms => {
	let known: readonly EndpointCapacity[] | undefined;
	let knownLoad: CellLoad | undefined;

	const open = (): readonly EndpointCapacity[] => {
		known ??= endpoints.openRooms();
		return known;
	};

	const describe = (): CellLoad => {
		const rooms = open();
		const waiting = waitingInTimeWorkOf(jobs(), bestFactorOf(rooms), performance.now());
		return {free: freeCapacitiesOf(rooms, usualProcessor()), backlogMilliseconds: Math.round(waiting / throughputOf(rooms)), kindFactors: endpoints.kindFactors()};
	};

	return {
		open,
		load() {
			knownLoad ??= describe();
			return knownLoad;
		},
		forget() {
			known = undefined;
			knownLoad = undefined;
		},
	};
};
