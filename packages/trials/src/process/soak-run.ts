import {setTimeout as sleep} from 'node:timers/promises';
import {
	checkSoak, SoakRule, type Disturbance, type SoakViolation,
} from '../request/check-soak.js';
import {createRandom} from '../request/random.js';
import {planSoak, type SoakFault} from '../version/soak-plan.js';
import {startPlatformFleet, type PlatformFleet} from './platform-fleet.js';
import {createSoakFaults} from './soak-faults.js';
import {startSoakLoad, submitSoakJob} from './soak-load.js';

/**
What a soak did and found.
*/
export type SoakResult = {
	readonly jobs: number;
	readonly faults: number;
	readonly violations: readonly SoakViolation[];
};

export type SoakOptions = {
	readonly seed: number;
	readonly milliseconds: number;
	readonly zones: readonly string[];
	readonly daemonsInZone: number;
	readonly workersInZone: number;
	/** Called with each fault that strikes. */
	readonly onFault: (fault: SoakFault, target: string) => void;
	/** Called with the folder of the daemons' logs before the fleet is stopped. */
	readonly onEnd: (directory: string, violations: readonly SoakViolation[]) => Promise<void>;
};

/** Time for the fleet to come to rest after the last fault. */
const calmMilliseconds = 4000;
const lastJobs = 20;
/** Identifiers of the last jobs begin here. */
const firstLastJob = 1_000_000;
/** Draws of the load don't depend on those of the plan. */
const loadSeedGap = 1_000_003;

/** Jobs after the last fault all have to be served. */
const findUnserved = async (fleet: PlatformFleet, seed: number): Promise<readonly SoakViolation[]> => {
	const random = createRandom(seed);
	const violations: SoakViolation[] = [];
	for (let number = 0; number < lastJobs; number++) {
		const {identifier, calls} = await submitSoakJob(fleet, (firstLastJob + number).toString(16).padStart(16, '0'), random);
		const {state, daemon, detail} = calls.at(-1)!;
		if (state !== 'complete') {
			violations.push({rule: SoakRule.NotRecovered, detail: `${identifier} at ${daemon} after the last fault: ${detail}`});
		}
	}

	return violations;
};

/**
Starts real daemons, injects the faults of a seed from outside while jobs come, and checks the promises by what callers and endpoints saw.

@example
```
const {violations} = await runSoak({...options, seed: 7, milliseconds: 60_000});
```
*/
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
	const {seed, milliseconds} = options;
	const fleet = await startPlatformFleet({...options, isProxied: true});
	try {
		const disturbances: Disturbance[] = [];
		let faults = 0;
		const strike = createSoakFaults(fleet, disturbances, (fault, target) => {
			faults++;
			options.onFault(fault, target);
		});
		const load = startSoakLoad(fleet, createRandom(seed + loadSeedGap));
		await Promise.all(planSoak(seed, milliseconds).map(async planned => {
			await sleep(planned.at);
			await strike(planned);
		}));
		await load.stop();
		await sleep(calmMilliseconds);
		const runs = fleet.workers.flatMap(worker => worker.runs());
		const violations = [...checkSoak({jobs: load.jobs, runs, disturbances}), ...await findUnserved(fleet, seed)];
		await options.onEnd(fleet.directory, violations);
		return {jobs: load.jobs.length + lastJobs, faults, violations};
	} finally {
		await fleet.stop();
	}
};
