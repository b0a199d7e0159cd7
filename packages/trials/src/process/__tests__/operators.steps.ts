import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {submitAsCaller} from '../../request/caller.js';
import type {FleetWorld} from './fleet-world.js';

const lookMilliseconds = 20;
const failedRequests = 8;
const program = fileURLToPath(import.meta.resolve('galenakeel/process/main.js'));

const collect = async (stream: AsyncIterable<Uint8Array>): Promise<string> => {
	let text = '';
	for await (const chunk of stream) {
		text += String(chunk);
	}

	return text;
};

const runCommand = async (world: FleetWorld, line: string): Promise<void> => {
	const {platform, daemons, directory} = world.running;
	const child = spawn(process.execPath, [program, ...line.split(' ')], {
		cwd: directory,
		env: {...process.env, ...Object.fromEntries([['GALENAKEEL_PLATFORM', platform.address], ['GALENAKEEL_CALLERS', daemons[0]!.callers]])},
	});
	const [output, faults, [code]] = await Promise.all([collect(child.stdout), collect(child.stderr), once(child, 'close') as Promise<[number]>]);
	world.exitCode = code;
	world.output = output + faults;
};

When('an operator types {string}', async function (this: FleetWorld, line: string) {
	await runCommand(this, line);
});

When('an operator asks daemon {int} for its status', async function (this: FleetWorld, daemon: number) {
	await runCommand(this, `status --instance ${this.running.daemons[daemon - 1]!.operators}`);
});

When('the operator replaces {string} by {string} in {string}', async function (this: FleetWorld, before: string, after: string, file: string) {
	const path = join(this.running.directory, file);
	const text = await readFile(path, 'utf8');
	assert.ok(text.includes(before), text);
	await writeFile(path, text.replace(before, after));
});

When('the operator keeps what was printed in {string}', async function (this: FleetWorld, file: string) {
	await writeFile(join(this.running.directory, file), this.output);
});

When('another operator accepts a document for {string} with the team {string}', async function (this: FleetWorld, service: string, team: string) {
	await this.running.accept(service, document => ({...document, team}));
});

Given('a file {string} with a job of {int} tasks of 900 ms for {string}', async function (this: FleetWorld, file: string, tasks: number, service: string) {
	const job = {service, tasks: Array.from({length: tasks}, (_, position) => ({path: `/sheet?task=operator-${position}&run=900`}))};
	await writeFile(join(this.running.directory, file), JSON.stringify(job));
});

Given('a file {string} with {string}', async function (this: FleetWorld, file: string, text: string) {
	await writeFile(join(this.running.directory, file), text);
});

When('daemon {int} is killed and stays on the platform\'s list', async function (this: FleetWorld, daemon: number) {
	const {signal, exited} = this.running.daemons[daemon - 1]!;
	signal('SIGKILL');
	await exited;
});

When('endpoint {int} fails all of 8 requests for {string} through daemon {int}', async function (this: FleetWorld, endpoint: number, service: string, daemon: number) {
	// No probe is due before the operator looks.
	await this.running.accept(service, document => ({...document, guards: {probationMilliseconds: 60_000}}));
	const {status, callers} = this.running.daemons[daemon - 1]!;
	for (let {catalogueVersion} = await status(); catalogueVersion !== 2; {catalogueVersion} = await status()) {
		await sleep(lookMilliseconds);
	}

	this.running.endpoints[endpoint - 1]!.standIn.behaviour = EndpointBehaviour.FailAll;
	for (let request = 0; request < failedRequests; request++) {
		await submitAsCaller(callers, 'POST', `/v1/services/${service}/sheet?task=guard-${request}&run=10`, {body: 'butterfat 4.1'});
	}
});

When('the platform goes down', function (this: FleetWorld) {
	this.running.platform.faults.isDown = true;
});

Then('the command ends with code {int} and says {string}', function (this: FleetWorld, code: number, text: string) {
	assert.equal(this.exitCode, code, this.output);
	assert.ok(this.output.includes(text), this.output);
});

Then('the command prints no stack trace', function (this: FleetWorld) {
	assert.ok(!this.output.includes('    at '), this.output);
});
