import {randomUUID} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createPlatformClient, InstanceRole, ListedState, type ListedInstance, type Platform,
} from '@galenakeel/model/connection/platform-client.js';
import {acceptDocument, readDocument} from '@galenakeel/model/version/document-store.js';
import {startEndpointStandIn, type EndpointStandIn} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {startPlatformStandIn, type PlatformStandIn} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import {intervalToOthers} from 'galenakeeld/process/heartbeat-interval.js';
import {startDaemonProcess, type DaemonProcess} from './daemon-process.js';
import {startFakePeers, type FakePeers} from './fake-peers.js';
import {findFreeAddresses} from './free-ports.js';
import {createPulseWatch, type PulseWatch} from './pulse-watch.js';

const readyMilliseconds = 15_000;
const inForceMilliseconds = 20_000;
const pollIntervalMilliseconds = 20;
const zone = 'zone-a';
const exitMilliseconds = 3000;
const endpointSlots = 64;
const heartbeatMilliseconds = 800;
const maximumHeartbeatMilliseconds = 5000;

/**
Dimensions of a test bed for the control cost of one daemon.
*/
export type TestBedSize = {
	/** Entry instances that exchange heartbeats with the daemon. */
	readonly peers: number;
	/** Endpoints that the platform lists and one document names, but that no process serves. */
	readonly endpoints: number;
	readonly documents: number;
	/** Teams with a quota in one document. */
	readonly teams: number;
	/** Endpoint stand-ins that run tasks. */
	readonly runningEndpoints: number;
	/** Weight of the number of instances in the interval of slow heartbeats, for the daemon and its peers. */
	readonly heartbeatLoadFactor: number;
};

/**
One daemon process, connected to stand-ins for the platform, its peers and its endpoints.
*/
export type TestBed = {
	readonly daemon: DaemonProcess;
	readonly platform: PlatformStandIn;
	readonly client: Platform;
	readonly pulse: PulseWatch;
	/** Accepts the document of a service again, and returns its new version. */
	readonly accept: (service: string) => Promise<number>;
	/** Waits until a catalogue version is in force on the daemon. Throws when this takes too long. */
	readonly untilInForce: (version: number) => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** Returns an address at which nothing listens. The daemon connects to an endpoint only to run a task, so no connection fails. */
const silentAddress = (position: number): string => `10.${Math.floor(position / 65_536)}.${Math.floor(position / 256) % 256}.${position % 256}:8080`;

const serviceName = (position: number): string => `service-${position + 1}`;

const describeDocument = (service: string, size: TestBedSize, running: readonly EndpointStandIn[]): string => {
	const isFirst = service === serviceName(0);
	const silent = Array.from({length: isFirst ? size.endpoints : 2}, (_, position) => ({name: `silent-${position + 1}`, address: silentAddress(position)}));
	const working = running.map(({address}, position) => ({name: `worker-${position + 1}`, address, slots: endpointSlots}));
	const quotas = Object.fromEntries(Array.from({length: isFirst ? size.teams : 1}, (_, position) => [`team-${position + 1}`, {share: 1}]));
	return JSON.stringify({
		service, team: 'owners', endpoints: {[zone]: isFirst && working.length > 0 ? working : silent}, quotas,
	});
};

const listInstances = (peers: FakePeers, size: TestBedSize, daemon: {peers: string; operators: string}): readonly ListedInstance[] => [
	...peers.listed,
	{
		name: 'entry-1', role: InstanceRole.Entry, zone, address: daemon.peers, operators: daemon.operators, state: ListedState.Live, incarnation: '1',
	},
	...Array.from({length: size.endpoints}, (_, position) => ({
		name: `silent-${position + 1}`, role: InstanceRole.Endpoint, zone, address: silentAddress(position), state: ListedState.Live, incarnation: '1',
	})),
];

const endDaemon = async (daemon: DaemonProcess): Promise<void> => {
	daemon.signal('SIGKILL');
	await Promise.race([daemon.exited, sleep(exitMilliseconds, undefined, {ref: false})]);
};

/**
Starts a test bed of the given size, and waits until the daemon is ready and has every document in force.

@example
```
const bed = await startCostBed({peers: 8, endpoints: 30, documents: 1, teams: 1, runningEndpoints: 0, heartbeatLoadFactor: 0.25});
```
*/
export const startTestBed = async (size: TestBedSize): Promise<TestBed> => {
	const directory = await mkdtemp(join(tmpdir(), 'galenakeel-cost-'));
	const [platformAddress, callers, peersPort, operators, ...endpointAddresses] = await findFreeAddresses(4 + size.runningEndpoints) as [string, string, string, string, ...string[]];
	const platform = await startPlatformStandIn(platformAddress, {listLagMilliseconds: 0});
	const running = await Promise.all(endpointAddresses.map(async address => startEndpointStandIn(address, {slots: endpointSlots, speed: 1, connections: 1024})));
	const client = createPlatformClient(platformAddress, readyMilliseconds);
	const pulse = createPulseWatch();
	const slowMilliseconds = intervalToOthers({heartbeatMilliseconds, maximumHeartbeatMilliseconds, heartbeatLoadFactor: size.heartbeatLoadFactor}, size.peers + 1);
	const peers = startFakePeers({
		count: size.peers,
		daemonAddress: peersPort,
		zone,
		// The daemon watches one peer, which therefore sends it heartbeats at the short interval.
		intervalOf: position => position === 0 ? heartbeatMilliseconds : slowMilliseconds,
		hear: pulse.hear,
	});
	platform.setInstances(listInstances(peers, size, {peers: peersPort, operators}));

	const accept = async (service: string): Promise<number> => {
		const current = await readDocument(client, service);
		return acceptDocument(client, {
			text: describeDocument(service, size, running), seenVersion: current?.version ?? 0, author: 'trial', nonce: randomUUID(),
		});
	};

	let version = 0;
	for (let position = 0; position < size.documents; position++) {
		version = await accept(serviceName(position));
	}

	const daemon = await startDaemonProcess(directory, {
		instance: 'entry-1', zone, callers, peers: peersPort, operators, platform: platformAddress,
	}, {peers: {heartbeatMilliseconds, maximumHeartbeatMilliseconds, heartbeatLoadFactor: size.heartbeatLoadFactor}});
	await daemon.untilReady(readyMilliseconds);

	const untilInForce = async (wanted: number): Promise<void> => {
		const until = Date.now() + inForceMilliseconds;
		for (;;) {
			const {catalogueVersion} = await daemon.status();
			if (Number(catalogueVersion) >= wanted) {
				return;
			}

			if (Date.now() > until) {
				throw new Error(`catalogue version ${wanted} was not in force on the daemon within ${inForceMilliseconds} ms`);
			}

			await sleep(pollIntervalMilliseconds);
		}
	};

	await untilInForce(version);
	return {
		daemon,
		platform,
		client,
		pulse,
		accept,
		untilInForce,
		async stop() {
			peers.close();
			await endDaemon(daemon);
			platform.close();
			for (const endpoint of running) {
				endpoint.close();
			}

			await rm(directory, {recursive: true, force: true});
		},
	};
};
