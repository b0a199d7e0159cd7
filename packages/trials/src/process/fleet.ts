import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import {
	createPlatformClient, InstanceRole, ListedState, type ListedInstance, type Platform,
} from '@galenakeel/model/connection/platform-client.js';
import {acceptDocument, readDocument} from '@galenakeel/model/version/document-store.js';
import {startBalancerStandIn, type BalancerStandIn} from '@galenakeel/stand-ins/connection/balancer-stand-in.js';
import {startFaultProxy, type FaultProxy} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import {startEndpointStandIn, type EndpointStandIn} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {startPlatformStandIn, type PlatformStandIn} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import {createCleanup, type Cleanup} from './cleanup.js';
import {startDaemonProcess, type DaemonPlace, type DaemonProcess} from './daemon-process.js';
import {findFreeAddresses} from './free-ports.js';
import {startProxiedLinks, type ProxiedLinks} from './proxied-links.js';

const readyTimeoutMilliseconds = 15_000;
const stopTimeoutMilliseconds = 5000;
const addressesOfDaemon = 3;
const restartedIncarnation = '2';

/**
The size and configuration of a fleet under test.
*/
export type FleetSize = {
	readonly zones: readonly string[];
	readonly daemonsPerZone: number;
	readonly endpointsPerZone: number;
	readonly slots: number;
	/** Relative speed of an endpoint, by its position among the endpoints of all zones; 1 by default. */
	readonly speedOf?: (position: number) => number;
	readonly listLagMilliseconds?: number;
	/** Whether each link goes through its own fault-injecting proxy. */
	readonly isProxied?: boolean;
	/** Starts the endpoint at an address. By default it runs in this process. */
	readonly startEndpoint?: typeof startEndpointStandIn;
	/** Settings of every daemon in addition to its addresses. */
	readonly settings?: Readonly<Record<string, unknown>>;
};

/**
An endpoint stand-in with its availability zone.
*/
export type PlacedEndpoint = {
	readonly name: string;
	readonly zone: string;
	readonly standIn: EndpointStandIn;
	/** Address written in service documents: the proxy's if there is one. */
	readonly address: string;
	readonly proxy: FaultProxy | undefined;
};

/**
A running fleet: daemon processes, endpoints, and stand-ins of the platform and the balancer.
*/
export type Fleet = {
	readonly directory: string;
	readonly platform: PlatformStandIn;
	readonly client: Platform;
	readonly balancer: BalancerStandIn;
	readonly endpoints: readonly PlacedEndpoint[];
	readonly daemons: readonly DaemonProcess[];
	/** Present when the fleet is proxied. */
	readonly links: ProxiedLinks | undefined;
	/** Starts a daemon that has exited again, with the same addresses. */
	readonly restart: (instance: string) => Promise<DaemonProcess>;
	/** Address at which callers reach a daemon: the proxy's if there is one. */
	readonly callersOf: (instance: string) => string;
	/** Sets the platform's instance list: all daemons and endpoints are live with their first incarnation, except those named as leaving, gone or restarted. */
	readonly list: (changes?: {readonly leaving?: readonly string[]; readonly gone?: readonly string[]; readonly restarted?: readonly string[]}) => void;
	/** Stores a new version of a service's document that lists all endpoints, modified by a function, and returns the version. */
	readonly accept: (service: string, change?: (document: Record<string, unknown>) => Record<string, unknown>) => Promise<number>;
	/** Returns a number that is unique among the submissions to this fleet. */
	readonly takeNumber: () => number;
	/** Aborted when the fleet stops, so that load generators stop with it. */
	readonly stopped: AbortSignal;
	readonly stop: () => Promise<void>;
};

const listedOf = (daemons: readonly DaemonPlace[], endpoints: readonly PlacedEndpoint[]): readonly ListedInstance[] => [
	...daemons.map(({instance, zone, peers, operators}) => ({
		name: instance, role: InstanceRole.Entry, zone, address: peers, operators, state: ListedState.Live, incarnation: '1',
	})),
	...endpoints.map(({name, zone, address}) => ({
		name, role: InstanceRole.Endpoint, zone, address, state: ListedState.Live, incarnation: '1',
	})),
];

const startProxyTo = async (target: string, cleanup: Cleanup): Promise<FaultProxy> => {
	const [address] = await findFreeAddresses(1) as [string];
	const proxy = await startFaultProxy(address, target);
	cleanup.add(proxy.close);
	return proxy;
};

const startEndpoints = async (size: FleetSize, cleanup: Cleanup): Promise<readonly PlacedEndpoint[]> => {
	const {startEndpoint = startEndpointStandIn} = size;
	const count = size.zones.length * size.endpointsPerZone;
	const addresses = await findFreeAddresses(count);
	return Promise.all(addresses.map(async (address, position) => {
		const speed = size.speedOf?.(position) ?? 1;
		const standIn = await startEndpoint(address, {slots: size.slots, speed, connections: 64});
		cleanup.add(standIn.close);
		const proxy = size.isProxied ? await startProxyTo(address, cleanup) : undefined;
		return {
			name: `worker-${position + 1}`, zone: size.zones[position % size.zones.length]!, standIn, address: proxy?.address ?? address, proxy,
		};
	}));
};

const placeDaemons = async (size: FleetSize, platform: string): Promise<readonly DaemonPlace[]> => {
	const count = size.zones.length * size.daemonsPerZone;
	const addresses = await findFreeAddresses(count * addressesOfDaemon);
	return Array.from({length: count}, (_, position) => {
		const [callers, peers, operators] = addresses.slice(position * addressesOfDaemon) as [string, string, string];
		return {
			instance: `entry-${position + 1}`, zone: size.zones[position % size.zones.length]!, callers, peers, operators, platform,
		};
	});
};

const stopDaemon = async (daemon: DaemonProcess): Promise<void> => {
	daemon.signal('SIGCONT');
	daemon.signal('SIGKILL');
	await Promise.race([daemon.exited, sleep(stopTimeoutMilliseconds, undefined, {ref: false})]);
};

/**
Starts stand-ins and daemons, and waits until every daemon is ready for requests. When a part fails to start, those already started are stopped.

@throws When a daemon is not ready within 15 s.

@example
```
const fleet = await startFleet({zones: ['zone-a', 'zone-b'], daemonsPerZone: 1, endpointsPerZone: 1, slots: 8});
await fleet.accept('paysheet');
await fleet.stop();
```
*/
export const startFleet = async (size: FleetSize): Promise<Fleet> => {
	const cleanup = createCleanup();
	try {
		return await startParts(size, cleanup);
	} catch (error) {
		// Parts that are already running would keep this process alive.
		await cleanup.run();
		throw error;
	}
};

const startParts = async (size: FleetSize, cleanup: Cleanup): Promise<Fleet> => {
	const directory = await mkdtemp(join(tmpdir(), 'galenakeel-'));
	cleanup.add(async () => rm(directory, {recursive: true, force: true}));
	const [platformAddress, balancerAddress] = await findFreeAddresses(2) as [string, string];
	const platform = await startPlatformStandIn(platformAddress, {listLagMilliseconds: size.listLagMilliseconds ?? 0});
	cleanup.add(platform.close);
	const balancer = await startBalancerStandIn(balancerAddress);
	cleanup.add(balancer.close);
	const endpoints = await startEndpoints(size, cleanup);
	const places = await placeDaemons(size, platformAddress);
	platform.setInstances(listedOf(places, endpoints));
	const links = size.isProxied ? await startProxiedLinks(platform, places) : undefined;
	cleanup.add(() => links?.close());
	const start = async (place: DaemonPlace): Promise<DaemonProcess> => {
		const daemon = await startDaemonProcess(directory, {...place, platform: links?.toPlatform.get(place.instance)?.address ?? place.platform}, size.settings);
		cleanup.add(async () => stopDaemon(daemon));
		return daemon;
	};

	const daemons = await Promise.all(places.map(async place => start(place)));
	await Promise.all(daemons.map(async daemon => daemon.untilReady(readyTimeoutMilliseconds)));
	balancer.setInstances(daemons);
	const client = createPlatformClient(platformAddress, stopTimeoutMilliseconds);
	const stopped = new AbortController();
	let submissions = 0;

	const describe = (service: string): Record<string, unknown> => ({
		service,
		team: 'owners',
		endpoints: Object.fromEntries(size.zones.map(zone => [
			zone,
			endpoints.filter(endpoint => endpoint.zone === zone).map(({name, address}) => ({name, address, slots: size.slots})),
		])),
	});

	return {
		directory,
		platform,
		client,
		balancer,
		endpoints,
		daemons,
		links,
		async restart(instance) {
			const position = daemons.findIndex(daemon => daemon.instance === instance);
			const daemon = await start(places[position]!);
			daemons[position] = daemon;
			return daemon;
		},
		callersOf: instance => links?.toCallers.get(instance)?.address ?? places.find(place => place.instance === instance)!.callers,
		list({leaving = [], gone = [], restarted = []} = {}) {
			const listed = listedOf(places, endpoints)
				.filter(({name}) => !gone.includes(name))
				.map(instance => leaving.includes(instance.name) ? {...instance, state: ListedState.Leaving} : instance)
				.map(instance => restarted.includes(instance.name) ? {...instance, incarnation: restartedIncarnation} : instance);
			platform.setInstances(listed);
		},
		async accept(service, change = document => document) {
			const current = await readDocument(client, service);
			return acceptDocument(client, {
				text: JSON.stringify(change(describe(service)), undefined, '\t'), seenVersion: current?.version ?? 0, author: 'trial', nonce: randomUUID(),
			});
		},
		takeNumber: () => submissions++,
		stopped: stopped.signal,
		async stop() {
			stopped.abort();
			await cleanup.run();
		},
	};
};
