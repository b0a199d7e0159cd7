import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, When} from '@cucumber/cucumber';
import {createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {startPlatformFleet} from '../platform-fleet.js';
import type {PlatformWorld} from './platform-path.steps.js';

const suspendingClock = import.meta.resolve('@galenakeel/stand-ins/process/suspending-clock.js');
const processorOfTask = 1000;
const fillingJob = '00000000000000aa';
const movedJob = '00000000000000bb';
const fillingMilliseconds = 1500;
const movedMilliseconds = 8000;
/** Time in which all daemons have heard each other's claims, and in which tasks have started. */
const settleMilliseconds = 1000;
const startMilliseconds = 400;

Given('2 daemons in 2 zones whose steady clocks stand still while they are suspended', {timeout: 30_000}, async function (this: PlatformWorld) {
	this.fleet = await startPlatformFleet({
		zones: ['north', 'south'], daemonsInZone: 1, workersInZone: 2, nodeArguments: ['--import', suspendingClock],
	});
	this.answers = [];
	await sleep(settleMilliseconds);
});

/** Submits a job to the first zone's daemon. Its answer doesn't count here; the fleet may stop before it. */
const submit = (world: PlatformWorld, identifier: string, tasks: number, milliseconds: number): void => {
	const answer = world.fleet.submit(world.fleet.daemons[0]!, identifier, createStandInJob(milliseconds, processorOfTask, [{tasks}]));
	world.answers.push(answer);
	void Promise.allSettled([answer]);
};

When('a job that fills the first zone is submitted, and one whose tasks go to the second zone', async function (this: PlatformWorld) {
	submit(this, fillingJob, 4, fillingMilliseconds);
	await sleep(startMilliseconds);
	submit(this, movedJob, 2, movedMilliseconds);
	await sleep(startMilliseconds);
	const moved = this.fleet.workers.filter(({identifier}) => identifier.startsWith('i-south-')).flatMap(worker => worker.runs());
	assert.equal(moved.length, 2);
});

When('the owner of the second zone is suspended for {int} ms', {timeout: 10_000}, async function (this: PlatformWorld, milliseconds: number) {
	const child = this.fleet.daemons[1]!.child();
	child.kill('SIGSTOP');
	await sleep(milliseconds);
	child.kill('SIGCONT');
});

When('{int} ms pass by on the platform', {timeout: 10_000}, async (milliseconds: number) => {
	await sleep(milliseconds);
});
