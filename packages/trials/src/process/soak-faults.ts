import {once} from 'node:events';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {LinkState, type FaultProxy} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import {resetSignal, silenceSignal} from '@galenakeel/stand-ins/process/peer-stream-signals.js';
import {StoreFault} from '@galenakeel/stand-ins/process/table-store-stand-in.js';
import {WorkerFault, type WorkerStandIn} from '@galenakeel/stand-ins/process/worker-stand-in.js';
import {createStandInConfiguration} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {DisturbanceKind, type Disturbance} from '../request/check-soak.js';
import {SoakFault, type PlannedFault} from '../version/soak-plan.js';
import {queueHost, type PlatformDaemon, type PlatformFleet} from './platform-fleet.js';

/**
Injects a fault into the fleet, and resolves when the fault has ended and a killed or leaving daemon is ready again.
*/
export type InjectFault = (planned: PlannedFault) => Promise<void>;

const delayMilliseconds = 60;
/** Time after a daemon is ready again during which calls sent earlier may still fail. */
const settleMilliseconds = 300;
/** Share of the time for which a daemon is away after which the next one is killed, where they are killed in turn. */
const turnShare = 0.7;

const itemAt = <Item>(items: readonly Item[], target: number): Item => items[target % items.length]!;

/**
What the faults need to know of the fleet while it runs.
*/
export type SoakFaultsOptions = {
	/** Receives the intervals during which a daemon was killed, paused or leaving. */
	readonly disturbances: Disturbance[];
	/** Called with each fault that is injected, before it takes effect. */
	readonly onFault: (fault: SoakFault, target: string) => void;
	/** Instances of the daemons that own the cells of a zone now. */
	readonly ownersOf: (zone: string) => readonly string[];
	/** Number of calls at a daemon that have no answer yet. */
	readonly openCallsAt: (instance: string) => number;
};

/**
Creates the function that injects faults into a fleet. A target has at most one fault at a time; a fault whose target already has one is skipped.

@example
```
const injectFault = createSoakFaults(fleet, {disturbances, onFault: fault => console.log(fault), ownersOf: watch.ownersOf, openCallsAt: load.openCallsAt});
await injectFault({fault: SoakFault.DaemonKilled, at: 0, forMilliseconds: 500, target: 3});
```
*/
export const createSoakFaults = (fleet: PlatformFleet, {disturbances, onFault, ownersOf, openCallsAt}: SoakFaultsOptions): InjectFault => {
	const zones = [...new Set(fleet.daemons.map(({zone}) => zone))];
	const busy = new Set<string>();
	let configurationVersion = 1;

	const injectUnlessBusy = async (fault: SoakFault, target: string, perform: () => Promise<void>): Promise<void> => {
		if (busy.has(target)) {
			return;
		}

		busy.add(target);
		onFault(fault, target);
		await perform();
		busy.delete(target);
	};

	/** Records the interval during which a daemon is disturbed. It is open-ended until the fault is over. */
	const recordDisturbance = async (daemon: PlatformDaemon, kind: DisturbanceKind, perform: () => Promise<void>): Promise<void> => {
		const from = performance.now();
		const position = disturbances.push({
			kind, daemon: daemon.instance, from, to: Number.POSITIVE_INFINITY,
		}) - 1;
		await perform();
		disturbances[position] = {
			kind, daemon: daemon.instance, from, to: performance.now() + settleMilliseconds,
		};
	};

	const killDaemon = async (daemon: PlatformDaemon, milliseconds: number): Promise<void> => recordDisturbance(daemon, DisturbanceKind.Broken, async () => {
		daemon.child().kill('SIGKILL');
		await sleep(milliseconds);
		await daemon.restart();
	});

	const pauseDaemon = async (daemon: PlatformDaemon, milliseconds: number): Promise<void> => recordDisturbance(daemon, DisturbanceKind.Broken, async () => {
		daemon.child().kill('SIGSTOP');
		await sleep(milliseconds);
		daemon.child().kill('SIGCONT');
	});

	/** A leaving daemon must still answer its calls until its process exits; only its restart counts as an interval without the daemon. */
	const leaveDaemon = async (daemon: PlatformDaemon): Promise<void> => recordDisturbance(daemon, DisturbanceKind.Leaving, async () => {
		const child = daemon.child();
		child.kill('SIGTERM');
		await once(child, 'exit');
		await recordDisturbance(daemon, DisturbanceKind.Broken, daemon.restart);
	});

	const stepClock = async (daemon: PlatformDaemon, milliseconds: number): Promise<void> => {
		daemon.child().kill('SIGUSR2');
		await sleep(milliseconds);
		daemon.child().kill('SIGUSR2');
	};

	const setStore = async (fault: StoreFault, milliseconds: number): Promise<void> => {
		fleet.store.fault = fault;
		await sleep(milliseconds);
		fleet.store.fault = StoreFault.None;
	};

	const setWorker = async (worker: WorkerStandIn, fault: WorkerFault, milliseconds: number): Promise<void> => {
		worker.fault = fault;
		await sleep(milliseconds);
		worker.fault = WorkerFault.None;
	};

	const crashWorker = async (worker: WorkerStandIn): Promise<void> => {
		worker.crash();
		fleet.listWorkers();
	};

	const refuse = async ({faults, resetConnections}: FaultProxy, milliseconds: number): Promise<void> => {
		faults.isRefusing = true;
		resetConnections();
		await sleep(milliseconds);
		faults.isRefusing = false;
	};

	const killWorker = async (worker: WorkerStandIn, milliseconds: number, link: FaultProxy): Promise<void> => {
		worker.crash();
		await refuse(link, milliseconds);
		fleet.listWorkers();
	};

	const dropReplies = async ({faults}: FaultProxy, milliseconds: number): Promise<void> => {
		faults.backward = LinkState.Silent;
		await sleep(milliseconds);
		faults.backward = LinkState.Open;
	};

	const delay = async ({faults}: FaultProxy, milliseconds: number): Promise<void> => {
		faults.delayMilliseconds = delayMilliseconds;
		await sleep(milliseconds);
		faults.delayMilliseconds = 0;
	};

	const changeConfiguration = async (): Promise<void> => {
		configurationVersion++;
		fleet.store.put('op', 'config', createStandInConfiguration(configurationVersion, queueHost, '/sheets/'));
	};

	type OnDaemon = (daemon: PlatformDaemon, milliseconds: number) => Promise<void>;
	type OnWorker = (worker: WorkerStandIn, milliseconds: number, link: FaultProxy) => Promise<void>;

	const onDaemon: Partial<Record<SoakFault, OnDaemon>> = {
		[SoakFault.DaemonKilled]: killDaemon,
		[SoakFault.DaemonPaused]: pauseDaemon,
		[SoakFault.DaemonLeaves]: leaveDaemon,
		[SoakFault.OwnerKilled]: killDaemon,
		[SoakFault.OwnerPaused]: pauseDaemon,
		[SoakFault.HolderKilled]: killDaemon,
		[SoakFault.HolderPaused]: pauseDaemon,
		async [SoakFault.PeerStreamsReset](daemon) {
			daemon.child().kill(resetSignal);
		},
		async [SoakFault.PeerStreamsSilent](daemon) {
			daemon.child().kill(silenceSignal);
		},
		[SoakFault.DaemonClockSteps]: stepClock,
		[SoakFault.DaemonCutFromStore]: async ({instance}, milliseconds) => refuse(fleet.links!.toStore.get(instance)!, milliseconds),
		[SoakFault.DaemonHearsNoStore]: async ({instance}, milliseconds) => dropReplies(fleet.links!.toStore.get(instance)!, milliseconds),
	};

	const onStore: Partial<Record<SoakFault, StoreFault>> = {
		[SoakFault.StoreBusy]: StoreFault.Busy,
		[SoakFault.StoreSilent]: StoreFault.Silent,
		[SoakFault.StoreLosesAnswers]: StoreFault.LostAnswers,
		[SoakFault.StoreHasNoHistory]: StoreFault.NoHistory,
	};

	const onWorker: Partial<Record<SoakFault, OnWorker>> = {
		[SoakFault.EndpointCrashes]: crashWorker,
		[SoakFault.EndpointKilled]: killWorker,
		[SoakFault.EndpointPaused]: async (worker, milliseconds) => worker.pause(milliseconds),
		[SoakFault.EndpointFailsAll]: async (worker, milliseconds) => setWorker(worker, WorkerFault.FailsAll, milliseconds),
		[SoakFault.EndpointStartsLate]: async (worker, milliseconds) => setWorker(worker, WorkerFault.LateStarts, milliseconds),
		[SoakFault.EndpointLosesAnswers]: async (worker, milliseconds) => setWorker(worker, WorkerFault.LostAnswers, milliseconds),
		[SoakFault.EndpointLosesLooks]: async (worker, milliseconds) => setWorker(worker, WorkerFault.LostPolls, milliseconds),
		[SoakFault.EndpointStalls]: async (worker, milliseconds) => setWorker(worker, WorkerFault.Stalls, milliseconds),
		[SoakFault.EndpointSilent]: async (worker, milliseconds) => setWorker(worker, WorkerFault.Silent, milliseconds),
		async [SoakFault.EndpointResets](_, __, link) {
			link.resetConnections();
		},
		[SoakFault.EndpointRefuses]: async (_, milliseconds, link) => refuse(link, milliseconds),
		async [SoakFault.EndpointConnectionsSilent](_, __, link) {
			link.silenceOpenConnections();
		},
		[SoakFault.EndpointDelayed]: async (_, milliseconds, link) => delay(link, milliseconds),
	};

	const findOwner = (target: number): PlatformDaemon | undefined => {
		const [owner] = ownersOf(itemAt(zones, target));
		return fleet.daemons.find(({instance}) => instance === owner);
	};

	const findHolder = (): PlatformDaemon | undefined => fleet.daemons.toSorted((first, second) => openCallsAt(second.instance) - openCallsAt(first.instance))[0];

	const finders: Partial<Record<SoakFault, (target: number) => PlatformDaemon | undefined>> = {
		[SoakFault.OwnerKilled]: findOwner,
		[SoakFault.OwnerPaused]: findOwner,
		[SoakFault.HolderKilled]: findHolder,
		[SoakFault.HolderPaused]: findHolder,
	};

	/** Kills all daemons, one after the other. */
	const killDaemons = async (fault: SoakFault, milliseconds: number, gapMilliseconds: number): Promise<void> => {
		await Promise.all(fleet.daemons.map(async (daemon, position) => {
			await sleep(position * gapMilliseconds);
			await injectUnlessBusy(fault, daemon.instance, async () => killDaemon(daemon, milliseconds));
		}));
	};

	const onFleet: Partial<Record<SoakFault, (milliseconds: number) => Promise<void>>> = {
		[SoakFault.AllDaemonsKilled]: async milliseconds => killDaemons(SoakFault.AllDaemonsKilled, milliseconds, 0),
		[SoakFault.DaemonsKilledInTurn]: async milliseconds => killDaemons(SoakFault.DaemonsKilledInTurn, milliseconds, milliseconds * turnShare),
		[SoakFault.ConfigurationChanges]: async () => injectUnlessBusy(SoakFault.ConfigurationChanges, 'configuration', changeConfiguration),
	};

	return async ({fault, target, forMilliseconds}) => {
		const daemon = finders[fault]?.(target) ?? itemAt(fleet.daemons, target);
		const worker = itemAt(fleet.workers, target);
		const storeFault = onStore[fault];
		if (onFleet[fault]) {
			await onFleet[fault](forMilliseconds);
		} else if (storeFault) {
			await injectUnlessBusy(fault, 'store', async () => setStore(storeFault, forMilliseconds));
		} else if (onDaemon[fault]) {
			await injectUnlessBusy(fault, daemon.instance, async () => onDaemon[fault]!(daemon, forMilliseconds));
		} else {
			await injectUnlessBusy(fault, worker.identifier, async () => onWorker[fault]!(worker, forMilliseconds, fleet.links!.toWorkers.get(worker.identifier)!));
		}
	};
};
