import {setTimeout as sleep} from 'node:timers/promises';
import {
	checkSoak, SoakRule, type Disturbance, type SoakViolation,
} from '../request/check-soak.js';
import {createRandom} from '../request/random.js';
import {planSoak, type SoakFault} from '../version/soak-plan.js';
import {soakProfiles, type SoakProfile, type SoakProfileName} from '../version/soak-profile.js';
import {startPlatformFleet, type PlatformFleet} from './platform-fleet.js';
import {watchFleetLogs} from './fleet-log-watch.js';
import {createSoakFaults} from './soak-faults.js';
import {startSoakLoad, submitSoakJob} from './soak-load.js';

/**
Counts of the jobs and faults of a soak, and the violations it found.
*/
export type SoakResult = {
	readonly jobs: number;
	readonly faults: number;
	readonly violations: readonly SoakViolation[];
};

export type SoakOptions = {
	readonly seed: number;
	readonly profile: SoakProfileName;
	readonly milliseconds: number;
	readonly zones: readonly string[];
	readonly daemonsInZone: number;
	readonly workersInZone: number;
	/** Called with each fault that is injected. */
	readonly onFault: (fault: SoakFault, target: string) => void;
	/** Called before the fleet stops, with the directory of the daemons' settings and logs. */
	readonly onEnd: (directory: string, violations: readonly SoakViolation[]) => Promise<void>;
};

/** Time for the fleet to settle after the last fault. */
const calmMilliseconds = 4000;
const recoveryJobs = 20;
/** Number of the first recovery job; above all numbers of the load, so that identifiers differ. */
const firstRecoveryJob = 1_000_000;
/** Gives the load a seed other than the plan's, so that their random numbers are independent. */
const loadSeedGap = 1_000_003;

/** Submits jobs after the last fault, and returns a violation for each that doesn't complete. */
const findRecoveryFailures = async (fleet: PlatformFleet, seed: number, profile: SoakProfile): Promise<readonly SoakViolation[]> => {
	const random = createRandom(seed);
	const violations: SoakViolation[] = [];
	for (let number = 0; number < recoveryJobs; number++) {
		const {identifier, calls} = await submitSoakJob(fleet, (firstRecoveryJob + number).toString(16).padStart(16, '0'), random, profile, () => {
			// No fault is injected any more.
		});
		const {state, daemon, detail} = calls.at(-1)!;
		if (state !== 'complete') {
			violations.push({rule: SoakRule.NotRecovered, detail: `${identifier} at ${daemon} after the last fault: ${detail}`});
		}
	}

	return violations;
};

/**
Starts daemon processes, injects the faults planned from a seed while jobs are submitted, and checks the guarantees by what callers and endpoints observed.

@example
```
const {violations} = await runSoak({...options, seed: 7, profile: SoakProfileName.Any, milliseconds: 60_000});
```
*/
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
	const {seed, milliseconds} = options;
	const profile = soakProfiles[options.profile];
	const fleet = await startPlatformFleet({...options, isProxied: true});
	const watch = watchFleetLogs(fleet.directory, fleet.daemons.map(({instance}) => instance));
	try {
		const disturbances: Disturbance[] = [];
		let faults = 0;
		const load = startSoakLoad(fleet, createRandom(seed + loadSeedGap), profile);
		const injectFault = createSoakFaults(fleet, {
			disturbances,
			onFault(fault, target) {
				faults++;
				options.onFault(fault, target);
			},
			ownersOf: watch.ownersOf,
			openCallsAt: load.openCallsAt,
		});
		await Promise.all(planSoak(seed, milliseconds, profile).map(async planned => {
			await sleep(planned.at);
			await injectFault(planned);
		}));
		await load.stop();
		await sleep(calmMilliseconds);
		const runs = fleet.workers.flatMap(worker => worker.runs().map(run => ({...run, endpoint: worker.identifier})));
		const violations = [...checkSoak({jobs: load.jobs, runs, disturbances}), ...await findRecoveryFailures(fleet, seed, profile)];
		await options.onEnd(fleet.directory, violations);
		return {jobs: load.jobs.length + recoveryJobs, faults, violations};
	} finally {
		await watch.stop();
		await fleet.stop();
	}
};
