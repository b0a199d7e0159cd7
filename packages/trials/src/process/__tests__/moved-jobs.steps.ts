import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {resetSignal} from '@galenakeel/stand-ins/process/peer-stream-signals.js';
import {createQueueConfiguration, createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {checkSoak, DisturbanceKind, type SoakJob} from '../../request/check-soak.js';
import {watchFleetLogs} from '../fleet-log-watch.js';
import {
	queueHost, startPlatformFleet, type PlatformDaemon, type PlatformFleet,
} from '../platform-fleet.js';
import {answerMilliseconds, callUntilKnown, nameTasks} from '../soak-load.js';

/** The fleet is stopped by a step of the platform path. */
type MovedWorld = {
	fleet: PlatformFleet;
	holder: PlatformDaemon;
	homeOwner: PlatformDaemon;
	otherOwner: PlatformDaemon;
	sentJobs: Array<Promise<SoakJob>>;
	struck: {readonly daemon: PlatformDaemon; readonly from: number};
	faultEnds: Promise<void>;
};

/** What happens to a daemon. */
enum DaemonFault {
	Pause = 'pause',
	/** It is killed, and started anew after the time. */
	Kill = 'kill',
	/** The streams that it receives are reset each 100 ms. */
	Resets = 'resets',
}

const zones = ['north', 'south'];
const daemonsInZone = 3;
const workersInZone = 2;
/** Tasks that the endpoints of a zone have room for. */
const roomOfZone = 4;
const processorOfTask = 1000;
const taskMilliseconds = 4000;
const settleMilliseconds = 800;
const resetMilliseconds = 100;
const beforeEndMilliseconds = 100;
const mostAttempts = 2;
const objectiveFactor = 1.6;

type TrialJob = {readonly number: number; readonly tasks: number; readonly milliseconds: number; readonly estimateMilliseconds: number};

const send = async (fleet: PlatformFleet, daemon: PlatformDaemon, {number, tasks, milliseconds, estimateMilliseconds}: TrialJob): Promise<SoakJob> => {
	const identifier = number.toString(16).padStart(16, '0');
	const others = fleet.daemons.filter(one => one !== daemon && one.zone === daemon.zone);
	const planned = [daemon, ...others].map(one => ({daemon: one, patienceMilliseconds: answerMilliseconds}));
	const calls = await callUntilKnown(fleet, planned, identifier, createStandInJob(milliseconds, processorOfTask, [{tasks}], estimateMilliseconds), () => {
		// Open calls aren't counted.
	});
	return {
		identifier, steps: nameTasks(identifier, [tasks]), mostAttempts, calls,
	};
};

Given('daemons of two zones with an objective of {int} ms, and a caller of a daemon that owns nothing', {timeout: 30_000}, async function (this: MovedWorld, objectiveMilliseconds: number) {
	this.fleet = await startPlatformFleet({
		zones, daemonsInZone, workersInZone, configuration: createQueueConfiguration(1, queueHost, [{
			name: 'sheets', pathPrefix: '/sheets/', priority: 0, mostAttempts, objectiveFactor, objectiveMilliseconds,
		}]),
	});
	await sleep(settleMilliseconds);
	const {daemons, directory} = this.fleet;
	const watch = watchFleetLogs(directory, daemons.map(({instance}) => instance));
	await watch.stop();
	const ownerOf = (zone: string): PlatformDaemon => daemons.find(({instance}) => instance === watch.ownersOf(zone)[0])!;
	this.homeOwner = ownerOf(zones[0]!);
	this.otherOwner = ownerOf(zones[1]!);
	this.holder = daemons.find(daemon => daemon.zone === zones[0] && daemon !== this.homeOwner)!;
	this.sentJobs = [];
});

When('the caller sends a job of {int} tasks of {int} ms that says {int} ms', function (this: MovedWorld, tasks: number, milliseconds: number, estimateMilliseconds: number) {
	this.sentJobs.push(send(this.fleet, this.holder, {
		number: 1, tasks, milliseconds, estimateMilliseconds,
	}));
});

const faults: Readonly<Record<DaemonFault, (daemon: PlatformDaemon, milliseconds: number) => Promise<void>>> = {
	async [DaemonFault.Pause](daemon, milliseconds) {
		daemon.child().kill('SIGSTOP');
		await sleep(milliseconds);
		daemon.child().kill('SIGCONT');
	},
	async [DaemonFault.Kill](daemon, milliseconds) {
		daemon.child().kill('SIGKILL');
		await sleep(milliseconds);
		await daemon.restart();
	},
	async [DaemonFault.Resets](daemon, milliseconds) {
		const until = performance.now() + milliseconds;
		while (performance.now() < until) {
			daemon.child().kill(resetSignal);
			await sleep(resetMilliseconds);
		}
	},
};

When('{string} happens to the {string} {int} ms after the job was sent, for {int} ms', async function (this: MovedWorld, fault: DaemonFault, name: string, afterMilliseconds: number, milliseconds: number) {
	await sleep(afterMilliseconds);
	const daemon = {holder: this.holder, 'owner of its zone': this.homeOwner, 'owner of other zones': this.otherOwner}[name]!;
	this.struck = {daemon, from: performance.now()};
	this.faultEnds = faults[fault](daemon, milliseconds);
	await sleep(milliseconds - beforeEndMilliseconds);
});

When('another job that needs the room of the first zone is sent to its owner {int} ms before that ends', function (this: MovedWorld, milliseconds: number) {
	assert.equal(milliseconds, beforeEndMilliseconds);
	this.sentJobs.push(send(this.fleet, this.homeOwner, {
		number: 2, tasks: roomOfZone, milliseconds: taskMilliseconds, estimateMilliseconds: taskMilliseconds,
	}));
});

Then('no promise was broken to any caller', {timeout: 120_000}, async function (this: MovedWorld) {
	await this.faultEnds;
	const jobs = await Promise.all(this.sentJobs);
	const runs = this.fleet.workers.flatMap(worker => worker.runs().map(run => ({...run, endpoint: worker.identifier})));
	const {daemon, from} = this.struck;
	const disturbances = [{
		kind: DisturbanceKind.Broken, daemon: daemon.instance, from, to: performance.now(),
	}];
	assert.deepEqual(checkSoak({jobs, runs, disturbances}), []);
	assert.ok(runs.length > 0);
});
