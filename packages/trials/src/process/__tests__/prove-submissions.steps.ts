import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Then, When} from '@cucumber/cucumber';

const historiesTimeoutMilliseconds = 120_000;
const proveProgram = fileURLToPath(new URL('../prove.js', import.meta.url));

type ProveWorld = {output: string};

When('the histories of {string} run with the seed {int}', {timeout: historiesTimeoutMilliseconds}, async function (this: ProveWorld, point: string, seed: number) {
	const child = spawn(process.execPath, [proveProgram, '--point', point, '--seed', String(seed)], {stdio: ['ignore', 'pipe', 'inherit']});
	this.output = '';
	child.stdout.setEncoding('utf8').on('data', (chunk: string) => {
		this.output += chunk;
	});
	await once(child, 'close');
});

Then('the point is proved by at least {int} histories', function (this: ProveWorld, histories: number) {
	const result = JSON.parse(this.output) as {status: string; histories: number};
	assert.equal(result.status, 'proved', this.output);
	assert.ok(result.histories >= histories, this.output);
});
