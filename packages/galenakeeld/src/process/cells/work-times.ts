import {performance} from 'node:perf_hooks';

/**
Kinds of work of a cell whose time is measured.
*/
export enum CellWork {
	/** Deciding whether an arriving job is accepted, redirected or refused. */
	Admission = 'admission',
	/** Choosing endpoints for waiting tasks and sending their starts. */
	Placing = 'placing',
	/** Choosing the tasks that go to cells with free capacity. */
	Sharing = 'sharing',
	/** Computing the load that other daemons are told. */
	Load = 'load',
}

/**
How often a kind of work was done, and how long it took in all.
*/
export type WorkTime = {readonly count: number; readonly milliseconds: number};

export type WorkTotals = Readonly<Record<CellWork, WorkTime>>;

/**
Time that a cell has spent on each kind of work.
*/
export type WorkTimes = {
	/** Does the work and adds its time. */
	readonly measure: <Result>(work: CellWork, perform: () => Result) => Result;
	readonly totals: () => WorkTotals;
};

const noWork: WorkTime = {count: 0, milliseconds: 0};

/**
Creates the times, with no work done yet.

@example
```
const workTimes = createWorkTimes();
const placements = workTimes.measure(CellWork.Placing, () => placeTasks(steps, capacities, context));
workTimes.totals()[CellWork.Placing].milliseconds;
```
*/
export const createWorkTimes = (): WorkTimes => {
	const totals: Record<CellWork, WorkTime> = {
		[CellWork.Admission]: noWork,
		[CellWork.Placing]: noWork,
		[CellWork.Sharing]: noWork,
		[CellWork.Load]: noWork,
	};
	return {
		measure(work, perform) {
			const startedAt = performance.now();
			const result = perform();
			const {count, milliseconds} = totals[work];
			totals[work] = {count: count + 1, milliseconds: milliseconds + performance.now() - startedAt};
			return result;
		},
		totals: () => ({...totals}),
	};
};
