import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import {createEndpointProcesses} from '@galenakeel/stand-ins/process/endpoint-processes.js';
import type {PlacementPolicy} from 'galenakeeld/process/placement-policy.js';
import type {TaskMix} from '../version/task-mix.js';
import type {DaemonProcess} from './daemon-process.js';
import {startFleet, type Fleet, type FleetSize} from './fleet.js';
import {startCountsOf} from './start-counts.js';

/**
The service that the benchmark calls.
*/
export const benchService = 'paysheet';

/**
Size of the default benchmark fleet.
*/
export const benchSize = {
	zones: ['zone-a', 'zone-b', 'zone-c'], daemonsPerZone: 2, endpointsPerZone: 10, slots: 8,
} as const;

/**
Number of endpoints of the default benchmark fleet.
*/
export const benchEndpoints = benchSize.zones.length * benchSize.endpointsPerZone;

/**
Size of a smaller fleet, whose capacity the load generators of one machine can exceed several times over.
*/
export const smallSize = {zones: benchSize.zones, daemonsPerZone: 2, endpointsPerZone: 4} as const;

/**
Returns the relative speed of each slot of the small fleet.
*/
export const smallSlots = (): readonly number[] =>
	Array.from({length: smallSize.zones.length * smallSize.endpointsPerZone * benchSize.slots}, () => 1);

/**
Share of the callers that are connected to each daemon.
*/
export const daemonShares: readonly number[] = [0.28, 0.2, 0.16, 0.14, 0.12, 0.1];

/**
Deadline long enough that no task is refused because of it.
*/
export const longDeadlineMilliseconds = 60_000;

const endpointProcesses = 3;
const readyMilliseconds = 10_000;
const pollMilliseconds = 50;

const statusOf = async (daemon: DaemonProcess): Promise<DaemonStatus> => await daemon.status() as DaemonStatus;

const isSettled = (status: DaemonStatus, version: number, daemons: number): boolean =>
	status.catalogueVersion >= version && status.peers.filter(({isReachable}) => isReachable).length === daemons - 1;

const untilSettled = async (fleet: Fleet, version: number): Promise<void> => {
	const until = Date.now() + readyMilliseconds;
	while (Date.now() < until) {
		const statuses = await Promise.all(fleet.daemons.map(async daemon => statusOf(daemon)));
		if (statuses.every(status => isSettled(status, version, fleet.daemons.length))) {
			return;
		}

		await sleep(pollMilliseconds);
	}

	throw new Error(`not every daemon reached all its peers and catalogue version ${version} within ${readyMilliseconds} ms`);
};

/**
Options of a benchmark fleet.
*/
export type BenchFleetOptions = {
	readonly policy: PlacementPolicy;
	readonly mix: TaskMix;
	readonly speedOf?: (endpoint: number) => number;
	readonly size?: Partial<Pick<FleetSize, 'zones' | 'daemonsPerZone' | 'endpointsPerZone' | 'isProxied'>>;
	/** Transforms the service document before it is accepted. */
	readonly change?: (document: Record<string, unknown>) => Record<string, unknown>;
};

/**
Starts a fleet with a placement policy, passes it to a function, and stops it when the function returns or throws.

The endpoints run in separate processes.

@returns The result of the function.
*/
export const withBenchFleet = async <Result>({policy, mix, speedOf, size, change}: BenchFleetOptions, use: (fleet: Fleet) => Promise<Result>): Promise<Result> => {
	const processes = createEndpointProcesses(endpointProcesses);
	try {
		const fleet = await startFleet({
			...benchSize, ...size, ...(speedOf && {speedOf}), settings: {placement: {policy}, logs: {level: 'warn'}}, startEndpoint: processes.startEndpoint,
		});
		try {
			const kinds = Object.fromEntries(Object.entries(mix.declared).map(([kind, runMilliseconds]) => [kind, {runMilliseconds}]));
			const describe = (document: Record<string, unknown>): Record<string, unknown> => ({...document, timeoutMilliseconds: longDeadlineMilliseconds, kinds});
			const version = await fleet.accept(benchService, document => change ? change(describe(document)) : describe(document));
			await untilSettled(fleet, version);
			return await use(fleet);
		} finally {
			await fleet.stop();
		}
	} finally {
		processes.close();
	}
};

/**
Adds up the control messages that all daemons have sent. Daemons that do not answer are left out.
*/
export const countMessages = async (fleet: Fleet): Promise<{readonly heartbeats: number; readonly slotCalls: number}> => {
	const statuses = await Promise.allSettled(fleet.daemons.map(async daemon => statusOf(daemon)));
	let heartbeats = 0;
	let slotCalls = 0;
	for (const status of statuses) {
		if (status.status === 'fulfilled') {
			heartbeats += status.value.messages.heartbeats;
			slotCalls += status.value.messages.slotCalls;
		}
	}

	return {heartbeats, slotCalls};
};

const reportLagMilliseconds = 300;

/**
Waits for the last reports of the endpoint processes, then counts the starts of each task.

@returns Number of starts by task name.
*/
export const countStarts = async (fleet: Fleet): Promise<ReadonlyMap<string, number>> => {
	await sleep(reportLagMilliseconds);
	return startCountsOf(fleet);
};
