import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {readSharedClock} from './shared-clock.js';
import type {WorkerCommand, WorkerReport} from './worker-command.js';
import {startWorkerStandIn, type WorkerRun, type WorkerStandIn} from './worker-stand-in.js';

const reportIntervalMilliseconds = 100;
const workers: WorkerStandIn[] = [];
/** Runs of each worker that haven't been reported as ended. */
const unreported = new Map<string, WorkerRun[]>();
/** Number of runs of each worker that were taken over into `unreported`. */
const takenCounts = new Map<string, number>();
/** What to add to a time of this process to get one of the shared clock. */
const clockOffset = readSharedClock() - performance.now();

const report = (message: WorkerReport): void => {
	process.send!(message);
};

const takeEnded = ({identifier, runs}: WorkerStandIn): readonly WorkerRun[] => {
	const all = runs();
	const open = [...unreported.get(identifier) ?? [], ...all.slice(takenCounts.get(identifier) ?? 0)];
	takenCounts.set(identifier, all.length);
	unreported.set(identifier, open.filter(({endedAt}) => endedAt === undefined));
	return open
		.filter(({endedAt}) => endedAt !== undefined)
		.map(run => ({...run, startedAt: run.startedAt + clockOffset, endedAt: run.endedAt! + clockOffset}));
};

const start = async ({identifier, address, options}: WorkerCommand): Promise<void> => {
	const worker = await startWorkerStandIn(identifier, address, options);
	workers.push(worker);
	report({listening: {identifier, entry: worker.entry('')}, ended: []});
};

process.on('message', (command: WorkerCommand) => {
	void start(command);
});
process.once('disconnect', () => {
	process.exit();
});
setInterval(() => {
	const ended = workers.map(worker => ({identifier: worker.identifier, runs: takeEnded(worker)})).filter(({runs}) => runs.length > 0);
	if (ended.length > 0) {
		report({ended});
	}
}, reportIntervalMilliseconds);
