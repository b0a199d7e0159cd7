import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import type {PlatformDaemon, PlatformFleet} from '../platform-fleet.js';
import {killDaemon, submitJobs, type PlatformWorld} from './platform-path.steps.js';

const logDelayMilliseconds = 2000;
const pollMilliseconds = 50;

type LogLine = {readonly event?: unknown; readonly cell?: unknown};

const readLog = async ({directory}: PlatformFleet, {instance}: PlatformDaemon): Promise<readonly LogLine[]> => {
	const text = await readFile(join(directory, `${instance}.log`), 'utf8');
	return text.split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line) as LogLine);
};

const findDaemons = async (fleet: PlatformFleet, event: string, cell: string): Promise<readonly PlatformDaemon[]> => {
	const logs = await Promise.all(fleet.daemons.map(async daemon => ({daemon, lines: await readLog(fleet, daemon)})));
	return logs.filter(({lines}) => lines.some(line => line.event === event && line.cell === cell)).map(({daemon}) => daemon);
};

const findOwner = async (fleet: PlatformFleet, cell: string): Promise<PlatformDaemon> => {
	const owners = await findDaemons(fleet, 'cell-claimed', cell);
	assert.equal(owners.length, 1, `${owners.length} daemons have claimed ${cell}`);
	return owners[0]!;
};

Then('the cells {string} and {string} belong to different daemons', async function (this: PlatformWorld, first: string, second: string) {
	assert.notEqual(await findOwner(this.fleet, first), await findOwner(this.fleet, second));
});

/** Log lines are written behind the answers. */
const findStarters = async (fleet: PlatformFleet, cell: string): Promise<readonly PlatformDaemon[]> => {
	const until = performance.now() + logDelayMilliseconds;
	for (;;) {
		const starters = await findDaemons(fleet, 'task-started', cell);
		if (starters.length > 0 || performance.now() > until) {
			return starters;
		}

		await sleep(pollMilliseconds);
	}
};

Then('tasks were started by the owners of {string} and of {string}', async function (this: PlatformWorld, first: string, second: string) {
	for (const cell of [first, second]) {
		const owner = await findOwner(this.fleet, cell);
		const starters = await findStarters(this.fleet, cell);
		assert.deepEqual(starters.map(({instance}) => instance), [owner.instance]);
	}
});

When('{int} jobs of {int} tasks of {int} ms are submitted through a daemon that doesn\'t own {string}', async function (
	this: PlatformWorld,
	jobs: number,
	tasks: number,
	milliseconds: number,
	cell: string,
) {
	const owner = await findOwner(this.fleet, cell);
	const position = this.fleet.daemons.findIndex(daemon => daemon.zone === owner.zone && daemon !== owner) + 1;
	submitJobs(this, position, jobs, {tasks, milliseconds});
});

When('the owner of {string} is killed after {int} ms', {timeout: 10_000}, async function (this: PlatformWorld, cell: string, milliseconds: number) {
	await killDaemon(this, await findOwner(this.fleet, cell), milliseconds);
});
