import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createWorkerProcesses} from '@galenakeel/stand-ins/process/worker-processes.js';
import {readSharedClock} from '@galenakeel/stand-ins/process/shared-clock.js';
import {createQueueConfiguration} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {
	checkSoak, DisturbanceKind, SoakRule, type Disturbance, type SoakJob, type SoakRun, type SoakViolation,
} from '../request/check-soak.js';
import type {CallerHabits} from '../request/departure.js';
import {createRandom, type Random} from '../request/random.js';
import {endpointAt, jobClasses, memoryArguments} from '../version/grown-site.js';
import type {
	PlannedFreeze, PlannedSlowdown, Site, SiteDay,
} from '../version/site-day.js';
import {createCleanup, type Cleanup} from './cleanup.js';
import {
	queueHost, rackAt, startPlatformFleetWith, type PlatformDaemon,
} from './platform-fleet.js';
import {startProcessorQuotas, type ProcessorQuotas} from './processor-quotas.js';
import {runSiteZoneLoad} from './site-day-load.js';

/**
What is done to daemons.
*/
export enum DisruptionKind {
	/** They stand still. */
	Freeze = 'freeze',
	/** Their shares of a core are divided. */
	Slowdown = 'slowdown',
}

export type SiteDayOptions = {
	readonly seed: number;
	readonly site: Site;
	readonly day: SiteDay;
	/** Factor of the sites' load. */
	readonly loadFactor: number;
	readonly habits: CallerHabits;
	/** Called with each freeze and each slowdown, before it takes effect. */
	readonly onDisruption: (kind: DisruptionKind, instances: readonly string[]) => void;
	/** Called before the fleet stops, with the directory of the daemons' settings and logs. */
	readonly onEnd: (directory: string, violations: readonly SoakViolation[]) => Promise<void>;
};

/**
What a day of a site has shown.
*/
export type SiteDayResult = {
	readonly jobs: readonly SoakJob[];
	readonly runs: readonly SoakRun[];
	readonly violations: readonly SoakViolation[];
};

/** Rules that hold on a day on which daemons stand still or are slower. A caller without an answer sends its job again. */
const checkedRules: ReadonlySet<SoakRule> = new Set([SoakRule.Twice, SoakRule.Refused, SoakRule.Incomplete, SoakRule.FalselyFailed, SoakRule.Unasked]);

const endpointProcesses = 3;
/** Time for daemons to find each other after their start. */
const warmUpMilliseconds = 3000;
/** Longest lease of a run and the lag of the reports of runs. */
const settleMilliseconds = 2500;
/** Time after a freeze in which calls may still fail. */
const wakeMilliseconds = 300;
/** Gaps between the seeds and between the job numbers of the zones. */
const seedGap = 1_000_003;
const jobNumbersOfZone = 10_000_000;

const pickSome = <Item>(random: Random, items: readonly Item[], count: number): readonly Item[] => {
	const left = [...items];
	return Array.from({length: Math.min(count, items.length)}, () => left.splice(random.integer(0, left.length - 1), 1)[0]!);
};

/** Runs the freezes of a day, one after the other, and returns when which daemon stood still. */
const runFreezes = async (freezes: readonly PlannedFreeze[], daemons: readonly PlatformDaemon[], {random, quotas, onDisruption}: {
	readonly random: Random;
	readonly quotas: ProcessorQuotas;
	readonly onDisruption: SiteDayOptions['onDisruption'];
}): Promise<readonly Disturbance[]> => {
	const startedAt = performance.now();
	const disturbances: Disturbance[] = [];
	for (const {at, forMilliseconds, share} of freezes) {
		await sleep(Math.max(0, startedAt + at - performance.now()));
		const frozen = pickSome(random, daemons, Math.ceil(share * daemons.length));
		onDisruption(DisruptionKind.Freeze, frozen.map(({instance}) => instance));
		for (const {child, instance} of frozen) {
			quotas.stall(child().pid!, forMilliseconds);
			disturbances.push({
				kind: DisturbanceKind.Broken, daemon: instance, from: performance.now(), to: performance.now() + forMilliseconds + wakeMilliseconds,
			});
		}
	}

	return disturbances;
};

/** A daemon with its share of a core while nothing slows it. */
type SharedDaemon = {readonly daemon: PlatformDaemon; readonly share: number};

/** Gap between the seed of the freezes and that of the slowdowns. */
const slowdownSeedGap = 7;

/** Runs the slowdowns of a day, each from its time on. One daemon may be in several, of which the strongest counts. */
const runSlowdowns = async (slowdowns: readonly PlannedSlowdown[], daemons: readonly SharedDaemon[], {random, quotas, onDisruption}: {
	readonly random: Random;
	readonly quotas: ProcessorQuotas;
	readonly onDisruption: SiteDayOptions['onDisruption'];
}): Promise<void> => {
	const divisorsOf = new Map<SharedDaemon, Set<PlannedSlowdown>>(daemons.map(daemon => [daemon, new Set()]));
	const applyTo = (slowed: SharedDaemon): void => {
		const divisor = Math.max(1, ...[...divisorsOf.get(slowed)!].map(one => one.divisor));
		quotas.limit(slowed.daemon.child().pid!, slowed.share / divisor);
	};

	await Promise.all(slowdowns.map(async slowdown => {
		await sleep(slowdown.at);
		const chosen = pickSome(random, daemons, Math.ceil(slowdown.share * daemons.length));
		onDisruption(DisruptionKind.Slowdown, chosen.map(({daemon}) => daemon.instance));
		for (const one of chosen) {
			divisorsOf.get(one)!.add(slowdown);
			applyTo(one);
		}

		await sleep(slowdown.forMilliseconds);
		for (const one of chosen) {
			divisorsOf.get(one)!.delete(slowdown);
			applyTo(one);
		}
	}));
};

const runParts = async (options: SiteDayOptions, cleanup: Cleanup): Promise<SiteDayResult> => {
	const {seed, day, loadFactor, habits, onDisruption} = options;
	const {zones, coreShareAt} = options.site;
	const workers = createWorkerProcesses(endpointProcesses);
	cleanup.add(workers.close);
	const quotas = startProcessorQuotas();
	cleanup.add(quotas.close);
	const fleet = await startPlatformFleetWith({
		zones: zones.map(({name}) => name),
		daemonsInZone: zone => zones.find(({name}) => name === zone)!.daemons,
		workersInZone: zones[0]!.endpoints,
		configuration: createQueueConfiguration(1, queueHost, jobClasses),
		machineOf: position => ({cores: 1, share: coreShareAt(position)}),
		nodeArguments: memoryArguments,
	}, async (identifier, address, position) => workers.startWorker(identifier, address, {...endpointAt(position), rack: rackAt(position)}));
	cleanup.add(fleet.stop);
	await sleep(warmUpMilliseconds);
	const daemons = zones.flatMap(({name}) => fleet.daemons
		.filter(({zone}) => zone === name)
		.map((daemon, position): SharedDaemon => ({daemon, share: coreShareAt(position)})));
	for (const {daemon, share} of daemons) {
		quotas.limit(daemon.child().pid!, share);
	}

	const [disturbances, , ...jobsOfZones] = await Promise.all([
		runFreezes(day.freezes, fleet.daemons, {random: createRandom(seed), quotas, onDisruption}),
		runSlowdowns(day.slowdowns, daemons, {random: createRandom(seed + slowdownSeedGap), quotas, onDisruption}),
		...zones.map(async (zone, position) => runSiteZoneLoad({
			zone: {...zone, load: {...zone.load, jobsPerSecond: zone.load.jobsPerSecond * loadFactor}},
			daemons: fleet.daemons,
			seconds: day.seconds,
			seed: seed + ((position + 1) * seedGap),
			firstNumber: (position * jobNumbersOfZone) + 1,
			habits,
		})),
	]);
	await sleep(settleMilliseconds);
	// Runs are listed by the shared clock, calls by that of this process.
	const clockOffset = performance.now() - readSharedClock();
	const runs = fleet.workers.flatMap(({identifier, runs: runsOf}) => runsOf().map((run): SoakRun => ({
		...run, endpoint: identifier, startedAt: run.startedAt + clockOffset, endedAt: run.endedAt === undefined ? undefined : run.endedAt + clockOffset,
	})));
	const jobs = jobsOfZones.flat();
	const violations = checkSoak({jobs, runs, disturbances}).filter(({rule}) => checkedRules.has(rule));
	await options.onEnd(fleet.directory, violations);
	return {jobs, runs, violations};
};

/**
Plays a day of a site on daemon processes, with stand-ins of the store and of the endpoints: the site's load while daemons stand still and are slower as the day says. Checks what callers and endpoints saw.

@example
```
const {violations} = await runSiteDay({...options, site: sites[SiteName.FourZones], day, habits: patientCallers, seed: 7});
```
*/
export const runSiteDay = async (options: SiteDayOptions): Promise<SiteDayResult> => {
	const cleanup = createCleanup();
	try {
		return await runParts(options, cleanup);
	} finally {
		await cleanup.run();
	}
};
