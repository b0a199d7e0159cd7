import {setTimeout as sleep} from 'node:timers/promises';
import {ProvePoint} from '../version/prove-point.js';
import type {Violation} from '../request/check-history.js';
import type {FaultHistory} from './fault-history.js';
import {startFleet, type Fleet} from './fleet.js';
import {collectStarts} from './history-recorder.js';
import {startClosedLoad} from './caller-load.js';

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
Checks that an endpoint worked before it was listed as leaving; otherwise the history shows nothing.
*/
const checkWorkedBefore = (fleet: Fleet, name: string, listedAt: number): readonly Violation[] => {
	const {standIn} = fleet.endpoints.find(endpoint => endpoint.name === name)!;
	return standIn.starts().some(({startedAt}) => startedAt < listedAt) ? [] : [{point: ProvePoint.LeavingEndpoint, detail: `${name} had no work before it was listed as leaving`}];
};

/**
Creates a history in which an endpoint leaves under load.

@param disturb Called before the endpoint is listed as leaving; what it returns is called a second later.
*/
const leaveUnderLoad = (disturb: (fleet: Fleet) => (() => void)): FaultHistory => async (history, random) => {
	const fleet = await startLeavingFleet();
	try {
		const instances = fleet.daemons.map(({instance}) => instance);
		const load = startClosedLoad(fleet, history, {service, instances, runMilliseconds: 20}, {callers, maximumPauseMilliseconds: 10, random});
		await sleep(warmMilliseconds);
		// The second daemon is the one that is disturbed, and it owns the slots of its zone.
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
	// The list alone tells.
};

const viewOf = (fleet: Fleet, position: number): string => fleet.links!.platformView.get(fleet.daemons[position]!.instance)!;

const listedAtOnce = leaveUnderLoad(() => doNothing);

const listLagsForOne = leaveUnderLoad(fleet => {
	fleet.platform.overrideList(viewOf(fleet, 1), fleet.platform.listed());
	return doNothing;
});

const oneCutFromPlatform = leaveUnderLoad(fleet => {
	const proxy = fleet.links!.toPlatform.get(fleet.daemons[1]!.instance)!;
	proxy.faults.isRefusing = true;
	proxy.cut();
	return doNothing;
});

const markVanishes = leaveUnderLoad(fleet => {
	const before = fleet.platform.listed();
	return () => {
		for (const position of fleet.daemons.keys()) {
			fleet.platform.overrideList(viewOf(fleet, position), before);
		}
	};
});

/**
Replaces a leaving endpoint by another run at the same address, which has to get work again.
*/
const restartAtSameAddress: FaultHistory = async (history, random) => {
	const fleet = await startLeavingFleet();
	try {
		const instances = fleet.daemons.map(({instance}) => instance);
		const load = startClosedLoad(fleet, history, {service, instances, runMilliseconds: 20}, {callers, maximumPauseMilliseconds: 10, random});
		await sleep(warmMilliseconds);
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
Histories of endpoints that leave.
*/
export const leavingHistories: readonly FaultHistory[] = [listedAtOnce, listLagsForOne, oneCutFromPlatform, markVanishes, restartAtSameAddress];
