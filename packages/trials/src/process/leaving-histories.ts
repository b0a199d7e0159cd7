import {setTimeout as sleep} from 'node:timers/promises';
import {ProvePoint} from '../version/prove-point.js';
import type {Violation} from '../request/check-history.js';
import type {History} from '../request/history.js';
import type {Random} from '../request/random.js';
import type {FaultHistory} from './fault-history.js';
import {startFleet, type Fleet} from './fleet.js';
import {collectStarts} from './history-recorder.js';
import {startClosedLoad, type CallerLoad} from './caller-load.js';

const service = 'paysheet';
const inForceMilliseconds = 1200;
const warmMilliseconds = 300;
const observedMilliseconds = 4000;
const restartedWorkMilliseconds = 3000;
const callers = 12;

const startLeavingFleet = async (): Promise<Fleet> => {
	const fleet = await startFleet({
		zones: ['zone-a', 'zone-b'], daemonsPerZone: 1, endpointsPerZone: 2, slots: 4, isProxied: true,
	});
	await fleet.accept(service);
	await sleep(inForceMilliseconds);
	return fleet;
};

/**
Starts callers of all daemons, and waits until they have begun.
*/
const startWarmLoad = async (fleet: Fleet, history: History, random: Random): Promise<CallerLoad> => {
	const instances = fleet.daemons.map(({instance}) => instance);
	const load = startClosedLoad(fleet, history, {service, instances, runMilliseconds: 20}, {callers, maximumPauseMilliseconds: 10, random});
	await sleep(warmMilliseconds);
	return load;
};

/**
Checks that an endpoint received tasks before it was listed as leaving; otherwise the history proves nothing.
*/
const checkWorkedBefore = (fleet: Fleet, name: string, listedAt: number): readonly Violation[] => {
	const {standIn} = fleet.endpoints.find(endpoint => endpoint.name === name)!;
	return standIn.starts().some(({startedAt}) => startedAt < listedAt) ? [] : [{point: ProvePoint.LeavingEndpoint, detail: `${name} received no tasks before it was listed as leaving`}];
};

/**
Creates a history in which an endpoint leaves under load.

@param disturb Injects the first fault; called just before the endpoint is listed as leaving. The function it returns is called one second later.
*/
const createLeavingHistory = (disturb: (fleet: Fleet) => (() => void)): FaultHistory => async (history, random) => {
	const fleet = await startLeavingFleet();
	try {
		const load = await startWarmLoad(fleet, history, random);
		// Faults of a single daemon affect the second one, which owns the slots of its zone.
		const {name, address} = random.pick(fleet.endpoints.filter(({zone}) => zone === fleet.daemons[1]!.zone));
		const disturbLater = disturb(fleet);
		fleet.list({leaving: [name]});
		const listedAt = Date.now();
		history.leaving.push({endpoint: address, listedAt});
		await sleep(1000);
		disturbLater();
		await sleep(observedMilliseconds - 1000);
		await load.stop();
		collectStarts(fleet, history);
		return checkWorkedBefore(fleet, name, listedAt);
	} finally {
		await fleet.stop();
	}
};

const doNothing = (): void => {
	// No second fault.
};

const viewOf = (fleet: Fleet, position: number): string => fleet.links!.platformView.get(fleet.daemons[position]!.instance)!;

const listedAtOnce = createLeavingHistory(() => doNothing);

const listLagsForOne = createLeavingHistory(fleet => {
	fleet.platform.overrideList(viewOf(fleet, 1), fleet.platform.listed());
	return doNothing;
});

const oneCutFromPlatform = createLeavingHistory(fleet => {
	const proxy = fleet.links!.toPlatform.get(fleet.daemons[1]!.instance)!;
	proxy.faults.isRefusing = true;
	proxy.resetConnections();
	return doNothing;
});

const markVanishes = createLeavingHistory(fleet => {
	const before = fleet.platform.listed();
	return () => {
		for (const position of fleet.daemons.keys()) {
			fleet.platform.overrideList(viewOf(fleet, position), before);
		}
	};
});

/**
Replaces a leaving endpoint by a new incarnation at the same address, which must receive tasks again.
*/
const restartAtSameAddress: FaultHistory = async (history, random) => {
	const fleet = await startLeavingFleet();
	try {
		const load = await startWarmLoad(fleet, history, random);
		const {name, address, standIn} = random.pick(fleet.endpoints);
		const mark = {endpoint: address, listedAt: Date.now(), restartedAt: Infinity};
		history.leaving.push(mark);
		fleet.list({leaving: [name]});
		await sleep(1500);
		fleet.list({gone: [name]});
		await sleep(1800);
		mark.restartedAt = Date.now();
		fleet.list({restarted: [name]});
		await sleep(restartedWorkMilliseconds);
		await load.stop();
		collectStarts(fleet, history);
		const hasWorkAgain = standIn.starts().some(({startedAt}) => startedAt > mark.restartedAt);
		return hasWorkAgain
			? checkWorkedBefore(fleet, name, mark.listedAt)
			: [{point: ProvePoint.LeavingEndpoint, detail: `${name} was started anew and got no work within ${restartedWorkMilliseconds} ms`}];
	} finally {
		await fleet.stop();
	}
};

/**
Histories in which an endpoint leaves the fleet.
*/
export const leavingHistories: readonly FaultHistory[] = [listedAtOnce, listLagsForOne, oneCutFromPlatform, markVanishes, restartAtSameAddress];
