import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {PlacementPolicy} from 'galenakeeld/process/placement-policy.js';
import type {ArrivalResult} from '../request/arrival.js';
import {
	atMost, BenchScenario, idealPolicy, type BenchTarget,
} from '../version/bench-line.js';
import {createArrivals, type LoadPlan} from '../version/load-plan.js';
import {percentile} from '../version/percentile.js';
import {createFixedMix} from '../version/task-mix.js';
import {benchService, longDeadlineMilliseconds, withBenchFleet} from './bench-fleet.js';
import {printLine, shippedPolicy, type BenchRun} from './bench-run.js';
import type {Fleet} from './fleet.js';
import {findFreeAddresses} from './free-ports.js';
import {startLoad} from './load-generators.js';
import {latenessTarget} from './measure-load.js';
import {readProcessorTime} from './processor-time.js';

const relayProgram = fileURLToPath(import.meta.resolve('@galenakeel/stand-ins/process/bare-relay.js'));
const size = {zones: ['zone-a'], daemonsPerZone: 1, endpointsPerZone: 6};
const runMilliseconds = 5;
const tasksPerSecond = 450;
const warmUpMilliseconds = 3000;
const addedTarget = 1;
const processorTarget = 2;

/**
Request paths to an endpoint that are compared. The values are indexes into the addresses of the workload.
*/
enum Way {
	/** Through the daemon. */
	Daemon = 0,
	/** Through a relay that only forwards. */
	BareRelay = 1,
	/** Directly to the endpoint. */
	Direct = 2,
}

const ways = [Way.Daemon, Way.BareRelay, Way.Direct];

type WayResult = {readonly way: Way; readonly result: ArrivalResult};

type WaysMeasurement = {readonly results: readonly WayResult[]; readonly processorRatio: number};

type RunningRelay = {readonly child: ChildProcess; readonly address: string};

const startRelay = async (targets: readonly string[]): Promise<RunningRelay> => {
	const [address] = await findFreeAddresses(1) as [string];
	const child = fork(relayProgram);
	child.send({listen: address, targets});
	await once(child, 'message');
	return {child, address};
};

const readTimes = async (processes: readonly ChildProcess[]): Promise<readonly number[]> =>
	Promise.all(processes.map(async ({pid}) => readProcessorTime(pid!)));

const medianOf = (results: readonly WayResult[], way: Way): number =>
	percentile(results.filter(result => result.way === way).map(({result}) => result.responseMilliseconds), 0.5);

const countOf = (results: readonly WayResult[], way: Way): number => results.filter(result => result.way === way).length;

const measureWays = async (fleet: Fleet, relay: RunningRelay, plan: LoadPlan): Promise<WaysMeasurement> => {
	const arrivals = createArrivals(plan);
	const addresses = [fleet.daemons[0]!.callers, relay.address, fleet.endpoints[0]!.address];
	const processes = [fleet.daemons[0]!.child, relay.child];
	const {startAt, results} = startLoad({
		addresses, path: `/v1/services/${benchService}/sheet`, arrivals, deadlineMilliseconds: longDeadlineMilliseconds,
	});
	await sleep(startAt + warmUpMilliseconds - Date.now());
	const before = await readTimes(processes);
	await sleep(startAt + arrivals.at(-1)!.at - Date.now());
	const after = await readTimes(processes);
	const answered = await results;
	const measured = arrivals.map(({at, daemon}, position) => ({at, way: daemon, result: answered[position]!})).filter(({at}) => at >= warmUpMilliseconds);
	const costOf = (way: Way.Daemon | Way.BareRelay): number => (after[way]! - before[way]!) / countOf(measured, way);
	return {results: measured, processorRatio: costOf(Way.Daemon) / costOf(Way.BareRelay)};
};

const runPolicy = async (run: BenchRun, policy: PlacementPolicy): Promise<void> => {
	const mix = createFixedMix(runMilliseconds);
	await withBenchFleet({policy, mix, size}, async fleet => {
		const relay = await startRelay(fleet.endpoints.map(({address}) => address));
		try {
			const {results, processorRatio} = await measureWays(fleet, relay, {
				seed: run.seed,
				phases: [{durationMilliseconds: warmUpMilliseconds + run.milliseconds, tasksPerSecond}],
				mix,
				daemonShares: ways.map(() => 1 / ways.length),
			});
			const addedMedianMilliseconds = medianOf(results, Way.Daemon) - medianOf(results, Way.Direct);
			const targets: readonly BenchTarget[] = [
				atMost('added at the median, ms', addedTarget, addedMedianMilliseconds),
				atMost('processor time over a bare relay', processorTarget, processorRatio),
				latenessTarget(results.map(({result}) => result)),
			];
			printLine(run, BenchScenario.Relay, policy, {
				figures: {tasks: countOf(results, Way.Daemon), addedMedianMilliseconds, processorOverBareRelay: processorRatio}, targets,
			});
		} finally {
			relay.child.disconnect();
		}
	});
};

/**
Sends the same load through the daemon, through a bare relay and directly to an endpoint, all at the same time, and compares response and processor times.

The placement policy hardly affects the result, so only the default policy is run when it is among those selected.
*/
export const runRelay = async (run: BenchRun): Promise<void> => {
	const policies = run.policies.includes(shippedPolicy) ? [shippedPolicy] : run.policies.filter(policy => policy !== idealPolicy);
	for (const policy of policies) {
		await runPolicy(run, policy);
	}
};
