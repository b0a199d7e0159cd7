import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {watchFleetLogs} from '../fleet-log-watch.js';
import {startPlatformFleet, type PlatformDaemon} from '../platform-fleet.js';
import type {PlatformWorld} from './platform-path.steps.js';

/** The fleet is stopped by the steps of the platform path. */
type SilentConnectionsWorld = PlatformWorld & {owningDaemon: PlatformDaemon; otherDaemon: PlatformDaemon};

const silentConnections = import.meta.resolve('@galenakeel/stand-ins/process/silent-connections.js');
const zone = 'north';
const identifier = '00000000000000aa';
const processorOfTask = 1000;
/** Time in which all daemons have heard the claim. */
const settleMilliseconds = 1000;
const startMilliseconds = 200;

Given('2 daemons of one zone whose connections can go silent', {timeout: 30_000}, async function (this: SilentConnectionsWorld) {
	this.fleet = await startPlatformFleet({
		zones: [zone], daemonsInZone: 2, workersInZone: 2, nodeArguments: ['--import', silentConnections],
	});
	this.answers = [];
	await sleep(settleMilliseconds);
	const {daemons, directory} = this.fleet;
	const watch = watchFleetLogs(directory, daemons.map(({instance}) => instance));
	await watch.stop();
	const [owner] = watch.ownersOf(zone);
	this.owningDaemon = daemons.find(({instance}) => instance === owner)!;
	this.otherDaemon = daemons.find(({instance}) => instance !== owner)!;
});

When('the connections to the owner of the zone go silent', async function (this: SilentConnectionsWorld) {
	this.owningDaemon.child().kill('SIGWINCH');
	await sleep(startMilliseconds);
});

When('a job of {int} tasks of {int} ms is submitted to the other daemon', function (this: SilentConnectionsWorld, tasks: number, milliseconds: number) {
	const answer = this.fleet.submit(this.otherDaemon, identifier, createStandInJob(milliseconds, processorOfTask, [{tasks}]));
	this.answers.push(answer);
	void Promise.allSettled([answer]);
});

Then('the job is complete within {int} ms', {timeout: 15_000}, async function (this: SilentConnectionsWorld, milliseconds: number) {
	const reply = await Promise.race([this.answers[0]!, sleep(milliseconds)]);
	assert.equal(reply?.status, 200, `no answer within ${milliseconds} ms, or another: ${reply?.text}`);
});
