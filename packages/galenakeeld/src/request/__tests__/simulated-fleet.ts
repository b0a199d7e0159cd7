/**
A fleet of simulated daemons, and the endpoints and streams between which they work.
*/
import {type EndpointEntry, incarnationOf} from '@galenakeel/model/version/endpoint-entry.js';
import type {ConversationHistory} from './conversation-history.js';
import type {SeededRandom} from './seeded-random.js';
import {createSimulatedDaemon, type SimulatedDaemon} from './simulated-daemon.js';
import {createSimulatedEndpoint, type SimulatedEndpoint} from './simulated-endpoint.js';
import type {SimulatedProcesses} from './simulated-processes.js';
import {createSimulatedStreams, type SimulatedStreams} from './simulated-streams.js';

/**
A fleet whose daemons are connected.
*/
export type SimulatedFleet = {
	/** The daemons as they are: one that restarts takes the place of its earlier life. */
	readonly daemons: readonly SimulatedDaemon[];
	readonly endpoints: readonly SimulatedEndpoint[];
	/** What the platform lists of the endpoints, in the same order. */
	readonly entries: readonly EndpointEntry[];
	readonly streams: SimulatedStreams;
	/** Ends the process of a daemon at once, and its streams. Returns a function that starts it again at its address, where it knows of the endpoints that it is given. */
	readonly kill: (daemon: SimulatedDaemon) => (listed: readonly EndpointEntry[]) => void;
	readonly close: () => void;
};

type Place = {readonly zone: string; readonly name: string};

const allZones = ['north', 'south', 'east'] as const;
const daemonsOfZone = 2;
const endpointsOfZone = 2;
/** Thousandths of a core. */
export const processorOfTask = 1000;
const memoryMegabytes = 1024;

const createEntries = (random: SeededRandom, zones: readonly string[]): readonly EndpointEntry[] => zones.flatMap(zone => Array.from({length: endpointsOfZone}, (_, index): EndpointEntry => ({
	identifier: `${zone}-i${index}`, startedAt: 1, service: 'sheets', address: '', zone, isDraining: false,
	room: {processor: random.integer(1, 2) * processorOfTask, memoryMegabytes, accelerators: 0}, labels: ['a'],
})));

/**
Starts a fleet of two or three zones.

@example
```
const {daemons, close} = await createSimulatedFleet(random, processes, history);
```
*/
export const createSimulatedFleet = async (random: SeededRandom, processes: SimulatedProcesses, history: ConversationHistory): Promise<SimulatedFleet> => {
	const zones = allZones.slice(0, random.integer(2, allZones.length));
	const streams = createSimulatedStreams(processes, random, history);
	const entries = createEntries(random, zones);
	const endpoints = new Map(entries.map(entry => [incarnationOf(entry), createSimulatedEndpoint({
		identifier: entry.identifier, room: entry.room.processor / processorOfTask, processes, random, history,
	})]));
	const places = zones.flatMap(zone => Array.from({length: daemonsOfZone}, (_, index): Place => ({zone, name: `${zone}-${index}`})));

	const start = async ({zone, name}: Place, listed: readonly EndpointEntry[]): Promise<SimulatedDaemon> => {
		const process = processes.create(name);
		return new Promise((resolve, reject) => {
			process.performNow(() => {
				createSimulatedDaemon({
					process, zone, zones, streams, history, endpoints: listed,
					neighbours: places.filter(place => place.zone === zone && place.name !== name).map(place => place.name),
					createCalls: entry => endpoints.get(incarnationOf(entry))!.callsOf(process),
				}).then(resolve, reject);
			});
		});
	};

	const connect = ({process, connect: open}: SimulatedDaemon): void => {
		process.performNow(() => {
			open(places.map(({name}) => name));
		});
	};

	const daemons = await Promise.all(places.map(async place => start(place, entries)));
	for (const daemon of daemons) {
		connect(daemon);
	}

	const restart = async (index: number, listed: readonly EndpointEntry[]): Promise<void> => {
		const {name} = places[index]!;
		history.record(undefined, `*** ${name} starts again`);
		daemons[index] = await start(places[index]!, listed);
		// What was dialled meanwhile has reached no process.
		streams.breakAll(name);
		connect(daemons[index]);
	};

	return {
		daemons,
		endpoints: [...endpoints.values()],
		entries,
		streams,
		kill(daemon) {
			const index = daemons.indexOf(daemon);
			daemon.process.stop();
			streams.breakAll(daemon.process.name);
			return listed => {
				void restart(index, listed);
			};
		},
		close() {
			for (const {process, close} of daemons) {
				process.resume();
				process.performNow(close);
			}
		},
	};
};
