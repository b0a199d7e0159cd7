import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {EndpointCommandKind, type EndpointCommand, type EndpointReport} from './endpoint-command.js';
import {
	EndpointBehaviour, type EndpointStandIn, type EndpointStart, type startEndpointStandIn,
} from './endpoint-stand-in.js';

const endpointProgram = fileURLToPath(import.meta.resolve('./endpoint-process.js'));

/**
Child processes that run endpoint stand-ins, so that these share no thread with the process that measures them.
*/
export type EndpointProcesses = {
	/** Starts an endpoint in one of the processes, chosen round-robin. Its task starts are reported every 100 ms, so `starts` lags by as much. */
	readonly startEndpoint: typeof startEndpointStandIn;
	readonly close: () => void;
};

/**
Starts child processes without endpoints.

@example
```
const processes = createEndpointProcesses(3);
const standIn = await processes.startEndpoint('127.0.0.1:9000', {slots: 8, speed: 1, connections: 64});
```
*/
export const createEndpointProcesses = (count: number): EndpointProcesses => {
	const children = Array.from({length: count}, () => fork(endpointProgram));
	const startsOf = new Map<string, EndpointStart[]>();
	const listening = new Map<string, Deferred<void>>();
	let next = 0;

	const send = (child: ChildProcess, command: EndpointCommand): void => {
		child.send(command);
	};

	for (const child of children) {
		child.on('message', (report: EndpointReport) => {
			for (const start of report.starts) {
				startsOf.get(start.endpoint)?.push(start);
			}

			if (report.listening !== undefined) {
				listening.get(report.listening)?.resolve();
			}
		});
	}

	return {
		async startEndpoint(address, options): Promise<EndpointStandIn> {
			const child = children[next++ % children.length]!;
			const starts: EndpointStart[] = [];
			const ready = createDeferred<void>();
			startsOf.set(address, starts);
			listening.set(address, ready);
			send(child, {kind: EndpointCommandKind.Start, address, options});
			await ready.promise;
			let behaviour = EndpointBehaviour.Normal;
			return {
				address,
				get behaviour() {
					return behaviour;
				},
				set behaviour(changed) {
					behaviour = changed;
					send(child, {kind: EndpointCommandKind.SetBehaviour, address, behaviour});
				},
				starts: () => starts,
				close() {
					// The endpoint is closed when its process exits.
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
