import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import {LinkState, type FaultProxy} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import type {Violation} from '../request/check-history.js';
import type {CallerOperation, History} from '../request/history.js';
import {ProvePoint} from '../version/prove-point.js';
import {startOpenLoad, type CallerLoad} from './caller-load.js';
import type {FaultHistory} from './fault-history.js';
import {startFleet, type Fleet} from './fleet.js';
import {collectStarts} from './history-recorder.js';

const service = 'paysheet';
const inForceMilliseconds = 1200;
const slots = 8;
const requestMilliseconds = 10;
const jobMilliseconds = 50;
const beforeMilliseconds = 1000;
const defaultOutageMilliseconds = 2500;
const leastShareOfRate = 0.99;
const platformTimeoutMilliseconds = 500;

/** Length of each outage; set OUTAGE_MILLISECONDS for longer ones. */
const outageMilliseconds = Number(process.env.OUTAGE_MILLISECONDS ?? defaultOutageMilliseconds);

const startOutageFleet = async (): Promise<Fleet> => {
	const fleet = await startFleet({
		zones: ['zone-a', 'zone-b'], daemonsPerZone: 1, endpointsPerZone: 1, slots, isProxied: true, settings: {platform: {timeoutMilliseconds: platformTimeoutMilliseconds}},
	});
	await fleet.accept(service);
	await sleep(inForceMilliseconds);
	return fleet;
};

/**
Starts an open load of single requests without identifier and of jobs whose identifiers the daemons mint, through the given instances (all by default).
*/
const startLoads = (fleet: Fleet, history: History, instances = fleet.daemons.map(({instance}) => instance)): readonly CallerLoad[] => {
	const shape = {service, instances, runMilliseconds: 20};
	return [
		startOpenLoad(fleet, history, shape, requestMilliseconds),
		startOpenLoad(fleet, history, {...shape, tasks: 3}, jobMilliseconds),
	];
};

const shareComplete = (operations: readonly CallerOperation[]): number =>
	operations.filter(({outcome}) => outcome === Outcome.Complete).length / operations.length;

/**
Checks that the share of requests with a complete answer during the outage is at least 99% of the share before it.
*/
const checkRate = (operations: readonly CallerOperation[], from: number, to: number): readonly Violation[] => {
	const before = shareComplete(operations.filter(({sentAt}) => sentAt < from));
	const during = operations.filter(({sentAt}) => sentAt >= from && sentAt <= to);
	const share = shareComplete(during);
	return share >= before * leastShareOfRate
		? []
		: [{point: ProvePoint.PlatformOutage, detail: `${(100 * share).toFixed(1)}% of ${during.length} requests were answered completely during the outage, ${(100 * before).toFixed(1)}% before it`}];
};

/**
Creates a history in which a fault lasts for `outageMilliseconds` while callers send at a fixed rate.

@param fail Injects the fault.
@param restore Ends the fault.
*/
const createOutageHistory = (fail: (fleet: Fleet) => void, restore: (fleet: Fleet) => void): FaultHistory => async history => {
	const fleet = await startOutageFleet();
	try {
		const loads = startLoads(fleet, history);
		await sleep(beforeMilliseconds);
		const from = Date.now();
		fail(fleet);
		await sleep(outageMilliseconds);
		const to = Date.now();
		restore(fleet);
		await sleep(beforeMilliseconds / 2);
		const operations = await Promise.all(loads.map(async load => load.stop()));
		collectStarts(fleet, history);
		return operations.flatMap(ofLoad => checkRate(ofLoad, from, to));
	} finally {
		await fleet.stop();
	}
};

const setRefusing = (proxies: Iterable<FaultProxy>, isRefusing: boolean): void => {
	for (const proxy of proxies) {
		proxy.faults.isRefusing = isRefusing;
		if (isRefusing) {
			proxy.resetConnections();
		}
	}
};

const setSilent = (proxies: Iterable<FaultProxy>, state: LinkState): void => {
	for (const {faults} of proxies) {
		faults.forward = state;
		faults.backward = state;
	}
};

const peerLinks = (fleet: Fleet): readonly FaultProxy[] => {
	const [first, second] = fleet.daemons.map(({instance}) => instance) as [string, string];
	return [fleet.links!.between(first, second), fleet.links!.between(second, first)];
};

const platformLinks = (fleet: Fleet): Iterable<FaultProxy> => fleet.links!.toPlatform.values();

const platformDown = createOutageHistory(({platform}) => {
	platform.faults.isDown = true;
}, ({platform}) => {
	platform.faults.isDown = false;
});

const platformSlow = createOutageHistory(({platform}) => {
	platform.faults.delayMilliseconds = platformTimeoutMilliseconds;
}, ({platform}) => {
	platform.faults.delayMilliseconds = 0;
});

const platformHalfOpen = createOutageHistory(fleet => {
	setSilent(platformLinks(fleet), LinkState.Silent);
}, fleet => {
	setSilent(platformLinks(fleet), LinkState.Open);
});

const zonesCut = createOutageHistory(fleet => {
	setRefusing(peerLinks(fleet), true);
}, fleet => {
	setRefusing(peerLinks(fleet), false);
});

const zonesCutSilently = createOutageHistory(fleet => {
	setSilent(peerLinks(fleet), LinkState.Silent);
}, fleet => {
	setSilent(peerLinks(fleet), LinkState.Open);
});

const zonesCutFromAll = createOutageHistory(fleet => {
	setRefusing([...peerLinks(fleet), ...platformLinks(fleet)], true);
}, fleet => {
	setRefusing([...peerLinks(fleet), ...platformLinks(fleet)], false);
});

const zonesCutOneWay = createOutageHistory(fleet => {
	for (const {faults} of peerLinks(fleet)) {
		faults.backward = LinkState.Silent;
	}
}, fleet => {
	setSilent(peerLinks(fleet), LinkState.Open);
});

const peerConnectionsSilent = createOutageHistory(fleet => {
	for (const proxy of peerLinks(fleet)) {
		proxy.silenceOpenConnections();
	}
}, () => {
	// The silenced connections are not restored.
});

const ownedBy = async (fleet: Fleet, position: number): Promise<number> => {
	const {services} = await fleet.daemons[position]!.status() as DaemonStatus;
	return services.flatMap(({endpoints}) => endpoints).reduce((total, {owned}) => total + owned, 0);
};

const untilOwned = async (fleet: Fleet, position: number, isReached: (owned: number) => boolean): Promise<boolean> => {
	const until = Date.now() + takeoverMilliseconds;
	while (Date.now() < until) {
		if (isReached(await ownedBy(fleet, position))) {
			return true;
		}

		await sleep(50);
	}

	return false;
};

const takeoverMilliseconds = 4000;

/**
Freezes a daemon for longer than any time-out: the other daemon must take over its slots, and share them again when the first one resumes.
*/
const daemonFrozen: FaultHistory = async history => {
	const fleet = await startOutageFleet();
	const [frozen, other] = fleet.daemons as [typeof fleet.daemons[0], typeof fleet.daemons[0]];
	try {
		const all = slots * fleet.endpoints.length;
		const loads = startLoads(fleet, history, [other.instance]);
		await sleep(beforeMilliseconds);
		const from = Date.now();
		frozen.signal('SIGSTOP');
		const hasTaken = await untilOwned(fleet, 1, owned => owned === all);
		await sleep(Math.max(0, outageMilliseconds - (Date.now() - from)));
		const to = Date.now();
		frozen.signal('SIGCONT');
		const hasShared = await untilOwned(fleet, 1, owned => owned < all) && await untilOwned(fleet, 0, owned => owned > 0 && owned < all);
		const operations = await Promise.all(loads.map(async load => load.stop()));
		collectStarts(fleet, history);
		return [
			...operations.flatMap(ofLoad => checkRate(ofLoad, from, to)),
			...hasTaken ? [] : [{point: ProvePoint.PlatformOutage, detail: `the slots of the frozen daemon were not taken over within ${takeoverMilliseconds} ms`}],
			...hasShared ? [] : [{point: ProvePoint.PlatformOutage, detail: `the slots were not shared again after the daemon resumed, within ${takeoverMilliseconds} ms`}],
		];
	} finally {
		frozen.signal('SIGCONT');
		await fleet.stop();
	}
};

/**
Histories in which the platform, the links between zones or a daemon fail for a limited time.
*/
export const outageHistories: readonly FaultHistory[] = [
	platformDown, platformSlow, platformHalfOpen, zonesCut, zonesCutSilently, zonesCutFromAll, zonesCutOneWay, peerConnectionsSilent, daemonFrozen,
];
