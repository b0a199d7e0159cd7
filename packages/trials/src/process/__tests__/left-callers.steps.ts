import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {watchFleetLogs} from '../fleet-log-watch.js';
import {startPlatformFleet, type PlatformDaemon, type PlatformFleet} from '../platform-fleet.js';

/** The fleet is stopped by the steps of the platform path. */
type LeftCallersWorld = {
	fleet: PlatformFleet;
	owningDaemon: PlatformDaemon;
	stoppedDaemon: PlatformDaemon;
};

const zone = 'north';
const processorOfTask = 500;
const taskMilliseconds = 200;
/** Time in which all daemons have heard the claim. */
const settleMilliseconds = 500;
/** Time in which a daemon that goes on has read all that had arrived, and would have started tasks. */
const readMilliseconds = 1500;

Given('{int} daemons of one zone with {int} endpoints', {timeout: 30_000}, async function (this: LeftCallersWorld, daemonsInZone: number, workersInZone: number) {
	this.fleet = await startPlatformFleet({zones: [zone], daemonsInZone, workersInZone});
	await sleep(settleMilliseconds);
	const {daemons, directory} = this.fleet;
	const watch = watchFleetLogs(directory, daemons.map(({instance}) => instance));
	await watch.stop();
	const [owner] = watch.ownersOf(zone);
	this.owningDaemon = daemons.find(({instance}) => instance === owner)!;
});

When('the {word} daemon stands still, {int} callers send it a job each, and leave {int} ms later', async function (this: LeftCallersWorld, daemon: string, callers: number, milliseconds: number) {
	this.stoppedDaemon = daemon === 'owning' ? this.owningDaemon : this.fleet.daemons.find(other => other !== this.owningDaemon)!;
	this.stoppedDaemon.child().kill('SIGSTOP');
	const job = createStandInJob(taskMilliseconds, processorOfTask, [{tasks: 1}]);
	const answers = await Promise.allSettled(Array.from({length: callers}, async (_, position) =>
		this.fleet.submit(this.stoppedDaemon, (position + 1).toString(16).padStart(16, '0'), job, milliseconds)));
	assert.ok(answers.every(({status}) => status === 'rejected'), 'a daemon that stands still gives no answer');
});

When('it goes on {int} ms after they left', async function (this: LeftCallersWorld, milliseconds: number) {
	await sleep(milliseconds);
	this.stoppedDaemon.child().kill('SIGCONT');
	await sleep(readMilliseconds);
});

Then('none of their tasks is started', function (this: LeftCallersWorld) {
	const started = this.fleet.workers.flatMap(worker => worker.runs()).map(({task}) => task);
	assert.deepEqual(started, []);
});
