import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {createWorkerProcesses, type RemoteWorker} from '@galenakeel/stand-ins/process/worker-processes.js';
import type {WorkerRun} from '@galenakeel/stand-ins/process/worker-stand-in.js';
import {createQueueConfiguration} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {checkOverlaps, type SoakViolation} from '../request/check-soak.js';
import type {EndedJob} from '../request/grown-job.js';
import {planGrownFaults, type GrownFault} from '../version/grown-plan.js';
import {
	endpointAt, jobClasses, machineAt, memoryArguments,
} from '../version/grown-site.js';
import {createCleanup, type Cleanup} from './cleanup.js';
import {createDaemonKeeper} from './daemon-keeper.js';
import {watchFleetLogs, type FleetLogWatch} from './fleet-log-watch.js';
import {injectGrownFault} from './grown-faults.js';
import {runZoneLoad} from './grown-load.js';
import {
	queueHost, rackAt, startPlatformFleetWith, type PlatformDaemon, type PlatformFleet,
} from './platform-fleet.js';
import {startProcessorQuotas} from './processor-quotas.js';
import {sampleProcessors, type ProcessorSample} from './processor-samples.js';

export type GrownOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly zones: readonly string[];
	readonly daemonsInZone: number;
	readonly endpointsInZone: number;
	/** Mean number of jobs of a zone in a second. */
	readonly jobsPerSecond: number;
	/** Share of this machine's core that stands for a core of the site. */
	readonly coreShare: number;
	/** Kinds of faults to inject; none for a day without faults. */
	readonly faults: readonly GrownFault[];
	/** Further arguments of Node for the daemons. */
	readonly nodeArguments: readonly string[];
	/** Whether the daemons leave at the end, so that they write their profiles, rather than being killed. */
	readonly isGraceful: boolean;
	readonly onEvent: (text: string) => void;
	/** Called before the fleet stops, with the directory of the daemons' settings and logs. */
	readonly onEnd: (directory: string) => Promise<void>;
};

/**
A run of a task, with the endpoint that ran it.
*/
export type EndpointRun = WorkerRun & {readonly endpoint: string};

/**
What a run of the load of a grown site has shown.
*/
export type GrownResult = {
	readonly ended: readonly EndedJob[];
	readonly runs: readonly EndpointRun[];
	/** Tasks that ran twice at the same time. */
	readonly twice: readonly SoakViolation[];
	readonly samples: readonly ProcessorSample[];
	/** Owners of cells at the end of each second. */
	readonly owners: ReadonlyArray<ReadonlySet<string>>;
	/** Processes that ended by themselves: their instance, and their exit code or signal. */
	readonly ownExits: readonly string[];
	/** Number of lines of each event in the daemons' logs. */
	readonly events: ReadonlyMap<string, number>;
};

const swing = 0.55;
const periodSeconds = 15;
const firstPhase = 0.1;
const phaseOfZone = 0.08;
const endpointProcessesOfZone = 2;
const warmUpSeconds = 3;
const warmUpShare = 0.35;
/** Longest lease of a run and the lag of the reports of runs. */
const settleMilliseconds = 1500;
/** Gap between the seeds of the zones, and of the plans of one zone. */
const seedGap = 1_000_003;
const jobNumbersOfZone = 10_000_000;
const sampleMilliseconds = 1000;
/** Longest time that a daemon takes to leave. */
const drainMilliseconds = 8000;

/** Tells a daemon to leave, and waits until its process has exited. */
const leave = async ({child}: PlatformDaemon): Promise<void> => {
	const leaving = child();
	const exited = once(leaving, 'exit');
	leaving.kill('SIGTERM');
	await Promise.race([exited, sleep(drainMilliseconds)]);
};

const sampleOwners = async (watch: FleetLogWatch, zones: readonly string[], stopped: AbortSignal): Promise<GrownResult['owners']> => {
	const owners: Array<ReadonlySet<string>> = [];
	while (!stopped.aborted) {
		await sleep(sampleMilliseconds);
		owners.push(new Set(zones.flatMap(zone => watch.ownersOf(zone))));
	}

	return owners;
};

const collectRuns = (fleet: PlatformFleet<RemoteWorker>): readonly EndpointRun[] =>
	fleet.workers.flatMap(({identifier, runs}) => runs().map(run => ({...run, endpoint: identifier})));

const runParts = async (options: GrownOptions, cleanup: Cleanup): Promise<GrownResult> => {
	const {seed, seconds, zones, daemonsInZone, endpointsInZone, jobsPerSecond, onEvent} = options;
	const workers = createWorkerProcesses(zones.length * endpointProcessesOfZone);
	cleanup.add(workers.close);
	const quotas = startProcessorQuotas();
	cleanup.add(quotas.close);
	const keeper = createDaemonKeeper({quotas, coreShare: options.coreShare, onEvent});
	const fleet = await startPlatformFleetWith({
		zones, daemonsInZone, workersInZone: endpointsInZone, configuration: createQueueConfiguration(1, queueHost, jobClasses), machineOf: machineAt, nodeArguments: [...memoryArguments, ...options.nodeArguments], onProcess: keeper.onProcess,
	}, async (identifier, address, position) => workers.startWorker(identifier, address, {...endpointAt(position), rack: rackAt(position)}));
	cleanup.add(fleet.stop);
	const watch = watchFleetLogs(fleet.directory, fleet.daemons.map(({instance}) => instance));
	cleanup.add(watch.stop);

	const daemonsOf = (zone: string): readonly PlatformDaemon[] => fleet.daemons.filter(daemon => daemon.zone === zone);
	const runLoads = async (loadSeconds: number, perSecond: number, firstNumber: number): Promise<readonly EndedJob[]> => {
		const ended = await Promise.all(zones.map(async (zone, position) => runZoneLoad({
			zone,
			daemons: daemonsOf(zone),
			seed: seed + ((position + 1) * seedGap) + firstNumber,
			firstNumber: (position * jobNumbersOfZone) + firstNumber,
			wave: {
				seconds: loadSeconds, jobsPerSecond: perSecond, swing, periodSeconds, phase: firstPhase + (position * phaseOfZone),
			},
		})));
		return ended.flat();
	};

	const injectFaults = async (zone: string, position: number): Promise<void> => {
		await Promise.all(planGrownFaults(seed + position, seconds, options.faults).map(async planned => {
			await sleep(planned.at);
			await injectGrownFault(planned, {
				daemons: daemonsOf(zone),
				owners: () => watch.ownersOf(zone),
				stall(daemon, milliseconds) {
					quotas.stall(daemon.child().pid!, milliseconds);
				},
				killAndRestart: keeper.killAndRestart,
				onFault(fault, target) {
					onEvent(`${fault} ${target} at ${planned.at} ms for ${planned.forMilliseconds} ms`);
				},
			});
		}));
	};

	await runLoads(warmUpSeconds, jobsPerSecond * warmUpShare, 1);
	keeper.beginLimits(fleet.daemons);
	const stopping = new AbortController();
	const sampling = sampleProcessors(fleet.daemons, stopping.signal);
	const watchingOwners = sampleOwners(watch, zones, stopping.signal);
	const [ended] = await Promise.all([
		runLoads(seconds, jobsPerSecond, jobNumbersOfZone / 2),
		Promise.all(zones.map(async (zone, position) => injectFaults(zone, position))),
	]);
	stopping.abort();
	const samples = await sampling;
	const owners = await watchingOwners;
	await sleep(settleMilliseconds);
	keeper.close();
	if (options.isGraceful) {
		await Promise.all(fleet.daemons.map(async daemon => leave(daemon)));
	}

	const runs = collectRuns(fleet);
	await options.onEnd(fleet.directory);
	return {
		ended, runs, twice: checkOverlaps(runs), samples, owners, ownExits: keeper.ownExits, events: watch.counts(),
	};
};

/**
Plays the load of a site that has grown on daemon processes with stand-ins of the store and of the endpoints, and checks what callers and endpoints observed.

@example
```
const {twice} = await runGrown({...options, seed: 7, seconds: 30});
```
*/
export const runGrown = async (options: GrownOptions): Promise<GrownResult> => {
	const cleanup = createCleanup();
	try {
		return await runParts(options, cleanup);
	} finally {
		await cleanup.run();
	}
};
