import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, When} from '@cucumber/cucumber';
import type {HttpReply} from '@galenakeel/stand-ins/connection/http-json.js';
import {createStandInJob} from '@galenakeel/stand-ins/version/stand-in-configuration.js';
import {watchFleetLogs} from '../fleet-log-watch.js';
import {startPlatformFleet, type PlatformDaemon, type PlatformFleet} from '../platform-fleet.js';

/** The fleet is stopped, and the overlaps are checked, by the steps of the platform path. */
type ResentWorld = {
	fleet: PlatformFleet;
	answers: Array<Promise<HttpReply>>;
	resentJob: unknown;
	owningDaemon: PlatformDaemon;
	holdingDaemon: PlatformDaemon;
	otherDaemon: PlatformDaemon;
	brokeAt: number;
};

const zone = 'north';
const identifier = '00000000000000aa';
const processorOfTask = 1000;
/** Time in which all daemons have heard the claim, and in which the tasks have started. */
const settleMilliseconds = 500;
/** Time from the stop of the holder until its caller gives the connection up, so that the holder can't cancel the job. */
const breakMilliseconds = 100;
const answerMilliseconds = 15_000;

const sleepUntil = async (time: number): Promise<void> => {
	await sleep(Math.max(0, time - performance.now()));
};

Given('{int} daemons of one zone with {int} endpoints, and a job of {int} tasks of {int} ms at a daemon that doesn\'t own the cell', {timeout: 30_000}, async function (this: ResentWorld, daemonsInZone: number, workersInZone: number, tasks: number, milliseconds: number) {
	this.fleet = await startPlatformFleet({zones: [zone], daemonsInZone, workersInZone});
	this.answers = [];
	await sleep(settleMilliseconds);
	const {daemons, directory} = this.fleet;
	const watch = watchFleetLogs(directory, daemons.map(({instance}) => instance));
	await watch.stop();
	const [owner] = watch.ownersOf(zone);
	const others = daemons.filter(({instance}) => instance !== owner);
	this.owningDaemon = daemons.find(({instance}) => instance === owner)!;
	this.holdingDaemon = others[0]!;
	this.otherDaemon = others[1]!;
	this.resentJob = createStandInJob(milliseconds, processorOfTask, [{tasks}]);
});

When('the daemon that holds the job stands still, and the caller\'s connection breaks', async function (this: ResentWorld) {
	const broken = Promise.allSettled([this.fleet.submit(this.holdingDaemon, identifier, this.resentJob, settleMilliseconds + breakMilliseconds)]);
	await sleep(settleMilliseconds);
	this.holdingDaemon.child().kill('SIGSTOP');
	this.brokeAt = performance.now();
	await broken;
});

When('the owner of the cell stands still {int} ms after that, for {int} ms', {timeout: 10_000}, async function (this: ResentWorld, afterMilliseconds: number, forMilliseconds: number) {
	await sleepUntil(this.brokeAt + afterMilliseconds);
	this.owningDaemon.child().kill('SIGSTOP');
	setTimeout(() => {
		this.owningDaemon.child().kill('SIGCONT');
	}, forMilliseconds);
});

When('the caller sends the job to another daemon {int} ms after its connection broke', {timeout: 20_000}, async function (this: ResentWorld, milliseconds: number) {
	await sleepUntil(this.brokeAt + milliseconds);
	const answer = this.fleet.submit(this.otherDaemon, identifier, this.resentJob, answerMilliseconds);
	this.answers.push(answer);
	await answer;
});
