import type {Cell} from '../../cells/cell.js';
import {CellWork, type WorkTime} from '../../cells/work-times.js';

const noWork: WorkTime = {count: 0, milliseconds: 0};

const ignore = (): void => {
	// An idle cell does nothing.
};

/**
Creates a cell for tests that only check who owns it, with some of its functions replaced.

@example
```
createIdleCell('north', {install});
```
*/
export const createIdleCell = (name: string, functions: Partial<Cell> = {}): Cell => ({
	name,
	submit: ignore,
	cancel: ignore,
	dropHolder: ignore,
	resume: ignore,
	install: ignore,
	load: () => ({
		free: [], backlogMilliseconds: 0, isShortOfCapacity: false, kindFactors: {},
	}),
	observe: () => ({
		jobs: 1, jobsWaiting: 0, tasksWaiting: 0, tasksActive: 1, endpoints: 1, endpointsReachable: 1,
		work: {
			[CellWork.Admission]: noWork, [CellWork.Placing]: noWork, [CellWork.Sharing]: noWork, [CellWork.Load]: noWork,
		},
	}),
	runs: () => [],
	close: ignore,
	...functions,
});
