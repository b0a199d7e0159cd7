import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import type {WorkerCommand, WorkerReport} from './worker-command.js';
import type {WorkerOptions, WorkerRun, WorkerStandIn} from './worker-stand-in.js';

const workerProgram = fileURLToPath(import.meta.resolve('./worker-process.js'));

/**
A worker in a process of its own, without faults. Its runs are listed once they have ended, up to 100 ms later, in milliseconds of the shared clock.
*/
export type RemoteWorker = Pick<WorkerStandIn, 'identifier' | 'address' | 'runs' | 'entry' | 'close'>;

/**
Child processes that run worker stand-ins, so that these share no thread with the process that measures them.
*/
export type WorkerProcesses = {
	/** Starts a worker in one of the processes, in turn. */
	readonly startWorker: (identifier: string, address: string, options: WorkerOptions) => Promise<RemoteWorker>;
	readonly close: () => void;
};

/**
Starts child processes without workers.

@example
```
const processes = createWorkerProcesses(3);
const worker = await processes.startWorker('i-1', '127.0.0.1:8080', {processor: 2000, speed: 1, label: 'a', rack: 'r1'});
```
*/
export const createWorkerProcesses = (count: number): WorkerProcesses => {
	const children: readonly ChildProcess[] = Array.from({length: count}, () => fork(workerProgram));
	const runsOf = new Map<string, WorkerRun[]>();
	const listening = new Map<string, Deferred<Readonly<Record<string, unknown>>>>();
	let next = 0;

	const receive = (report: WorkerReport): void => {
		for (const {identifier, runs} of report.ended) {
			runsOf.get(identifier)?.push(...runs);
		}

		if (report.listening) {
			listening.get(report.listening.identifier)?.resolve(report.listening.entry);
		}
	};

	for (const child of children) {
		child.on('message', receive);
	}

	return {
		async startWorker(identifier, address, options) {
			const runs: WorkerRun[] = [];
			const ready = createDeferred<Readonly<Record<string, unknown>>>();
			runsOf.set(identifier, runs);
			listening.set(identifier, ready);
			const command: WorkerCommand = {identifier, address, options};
			children[next++ % children.length]!.send(command);
			const entry = await ready.promise;
			return {
				identifier,
				address,
				runs: () => runs,
				entry: (zone, state = 'ready', publicAddress = address) => ({
					...entry, Zone: zone, State: state, Address: publicAddress,
				}),
				close() {
					// The worker is closed when its process exits.
				},
			};
		},
		close() {
			for (const child of children) {
				child.disconnect();
			}
		},
	};
};
