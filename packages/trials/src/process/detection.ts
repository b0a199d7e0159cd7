#!/usr/bin/env node
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createEndpointProcesses} from '@galenakeel/stand-ins/process/endpoint-processes.js';
import {createHistory} from '../request/history.js';
import {createRandom, type Random} from '../request/random.js';
import {percentile} from '../version/percentile.js';
import {startClosedLoad, type CallerLoad} from './caller-load.js';
import {startDetectionWatch, type DetectionWatch} from './detection-watch.js';
import {startFleet, type Fleet} from './fleet.js';

const service = 'paysheet';
const inForceMilliseconds = 1500;
const watchedMilliseconds = 8000;
const betweenFaultsMilliseconds = 300;
const readyTimeoutMilliseconds = 10_000;
const faults = 3;
const runMilliseconds = 100;
const endpointProcesses = 3;

const {values} = parseArgs({
	options: {
		heartbeat: {type: 'string', default: '500'},
		missed: {type: 'string', default: '3'},
		callers: {type: 'string', default: '84'},
		seed: {type: 'string', default: '1'},
	},
});

/**
Kills a daemon, and starts it anew once all others have noticed.
*/
const killOne = async (fleet: Fleet, watch: DetectionWatch, instance: string): Promise<readonly number[]> => {
	const daemon = fleet.daemons.find(candidate => candidate.instance === instance)!;
	watch.expectSilence(instance);
	daemon.signal('SIGKILL');
	const times = await watch.untilDetected(instance);
	const next = await fleet.restart(instance);
	await next.untilReady(readyTimeoutMilliseconds);
	await watch.untilReached(instance);
	return times;
};

/**
Freezes a daemon until all others have noticed.
*/
const freezeOne = async (fleet: Fleet, watch: DetectionWatch, instance: string): Promise<readonly number[]> => {
	const daemon = fleet.daemons.find(candidate => candidate.instance === instance)!;
	watch.expectSilence(instance);
	daemon.signal('SIGSTOP');
	const times = await watch.untilDetected(instance);
	daemon.signal('SIGCONT');
	await watch.untilReached(instance);
	return times;
};

const repeat = async (fleet: Fleet, random: Random, bring: (instance: string) => Promise<readonly number[]>): Promise<readonly number[]> => {
	const times: number[] = [];
	for (let fault = 0; fault < faults; fault++) {
		await sleep(random.integer(0, betweenFaultsMilliseconds));
		times.push(...await bring(random.pick(fleet.daemons.slice(-2)).instance));
	}

	return times;
};

const describe = (times: readonly number[]): Readonly<Record<string, number>> => ({
	p50: Math.round(percentile(times, 0.5)), worst: Math.round(Math.max(...times)),
});

const processes = createEndpointProcesses(endpointProcesses);
const fleet = await startFleet({
	zones: ['zone-a', 'zone-b', 'zone-c'],
	daemonsPerZone: 2,
	endpointsPerZone: 4,
	slots: 8,
	startEndpoint: processes.startEndpoint,
	settings: {peers: {heartbeatMilliseconds: Number(values.heartbeat), missedHeartbeats: Number(values.missed)}},
});
try {
	await fleet.accept(service);
	await sleep(inForceMilliseconds);
	const random = createRandom(Number(values.seed));
	const history = createHistory();
	const instances = fleet.daemons.map(({instance}) => instance);
	// The last two daemons are those that fail later; their callers stop before.
	const startLoad = (through: readonly string[], callers: number): CallerLoad => startClosedLoad(fleet, history, {service, instances: through, runMilliseconds}, {
		callers, maximumPauseMilliseconds: 5, random,
	});
	const callers = Number(values.callers);
	const remaining = startLoad(instances.slice(0, -2), Math.round(callers * 2 / 3));
	const others = startLoad(instances.slice(-2), Math.round(callers / 3));
	const watch = startDetectionWatch(fleet);
	await sleep(watchedMilliseconds);
	const falseAlarmsBefore = watch.falseAlarms();
	const sentBefore = history.operations.length;
	await others.stop();
	const killed = await repeat(fleet, random, async instance => killOne(fleet, watch, instance));
	const frozen = await repeat(fleet, random, async instance => freezeOne(fleet, watch, instance));
	await remaining.stop();
	process.stdout.write(`${JSON.stringify({
		heartbeatMilliseconds: Number(values.heartbeat),
		missedHeartbeats: Number(values.missed),
		seed: Number(values.seed),
		tasksPerSecond: Math.round(sentBefore / watchedMilliseconds * 1000),
		watchedMilliseconds,
		falseAlarms: falseAlarmsBefore,
		falseAlarmsDuringFaults: watch.falseAlarms() - falseAlarmsBefore,
		killedDetectedMilliseconds: describe(killed),
		frozenDetectedMilliseconds: describe(frozen),
	})}\n`);
	await watch.stop();
} finally {
	await fleet.stop();
	processes.close();
}
