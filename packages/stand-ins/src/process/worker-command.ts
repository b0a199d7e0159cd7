import type {WorkerOptions, WorkerRun} from './worker-stand-in.js';

/**
A command to a process that runs worker stand-ins: start a worker.
*/
export type WorkerCommand = {readonly identifier: string; readonly address: string; readonly options: WorkerOptions};

/**
A report of the process: the worker that has begun to listen, and the runs that have ended since the last report, by worker.
*/
export type WorkerReport = {
	readonly listening?: {readonly identifier: string; readonly entry: Readonly<Record<string, unknown>>};
	/** Times are milliseconds of the system's monotonic clock, which all processes share. */
	readonly ended: ReadonlyArray<{readonly identifier: string; readonly runs: readonly WorkerRun[]}>;
};
