import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Given, Then, When} from '@cucumber/cucumber';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';
import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import type {Outcome} from '@galenakeel/model/request/outcome.js';
import {parseRawResponse, sendRaw} from '../../connection/raw-caller.js';
import {submitAsCaller} from '../../request/caller.js';
import type {FleetWorld} from './fleet-world.js';

const inForceMilliseconds = 5000;
const rawPatienceMilliseconds = 1000;

const callersOf = (world: FleetWorld, daemon: number): string => world.running.daemons[daemon - 1]!.callers;

const jobBody = (service: string, name: string, tasks: number): string => JSON.stringify({
	service, tasks: Array.from({length: tasks}, (_, position) => ({path: `/sheet?task=${name}-${position}&run=20`, body: name})),
});

const submitJob = async (world: FleetWorld, job: {readonly tasks: number; readonly service: string; readonly name: string; readonly daemon: number}): Promise<void> => {
	const {tasks, service, name, daemon} = job;
	world.identifier = name;
	world.results.push(await submitAsCaller(callersOf(world, daemon), 'PUT', `/v1/jobs/${encodeURIComponent(name)}`, {body: jobBody(service, name, tasks)}));
};

Given('an accepted document for {string}', async function (this: FleetWorld, service: string) {
	const version = await this.running.accept(service);
	const until = Date.now() + inForceMilliseconds;
	for (;;) {
		const statuses = await Promise.all(this.running.daemons.map(async daemon => daemon.status()));
		if (statuses.every(status => Number(status.catalogueVersion) >= version)) {
			return;
		}

		assert.ok(Date.now() < until, `version ${version} is not in force everywhere after ${inForceMilliseconds} ms`);
		await sleep(20);
	}
});

Given('an identifier minted by daemon {int}', async function (this: FleetWorld, daemon: number) {
	const reply = await call(callersOf(this, daemon), 'POST', '/v1/job-identifiers');
	this.identifier = (JSON.parse(reply.text) as {job: string}).job;
});

When('a caller sends a request with the body {string} to {string} through daemon {int}', async function (this: FleetWorld, body: string, service: string, daemon: number) {
	this.results.push(await submitAsCaller(callersOf(this, daemon), 'POST', `/v1/services/${service}/sheet?task=single&run=10`, {body}));
});

Given('endpoints that answer each task twice', function (this: FleetWorld) {
	for (const {standIn} of this.running.endpoints) {
		standIn.behaviour = EndpointBehaviour.TwoAnswers;
	}
});

When('{int} requests go to {string} through daemon {int}, one after the other', async function (this: FleetWorld, requests: number, service: string, daemon: number) {
	for (let request = 0; request < requests; request++) {
		const path = `/v1/services/${service}/sheet?task=twice-${request}&run=20`;
		this.results.push(await submitAsCaller(callersOf(this, daemon), 'POST', path, {body: `sheet-${request}`}));
	}
});

Then('each request gets its own answer', function (this: FleetWorld) {
	for (const [request, {status, text}] of this.results.entries()) {
		assert.equal(status, 200);
		assert.equal(text, `twice-${request}:sheet-${request}`);
	}
});

When('a caller asks {string} for an answer of {int} bytes through daemon {int}', async function (this: FleetWorld, service: string, bytes: number, daemon: number) {
	this.results.push(await submitAsCaller(callersOf(this, daemon), 'GET', `/v1/services/${service}/sheet?task=long&run=1&bytes=${bytes}`));
});

When('a caller submits a job of {int} tasks for {string} as {string} through daemon {int}', async function (this: FleetWorld, tasks: number, service: string, name: string, daemon: number) {
	await submitJob(this, {
		tasks, service, name, daemon,
	});
});

When('a caller submits a job of {int} tasks for {string} under that identifier through daemon {int}', async function (this: FleetWorld, tasks: number, service: string, daemon: number) {
	await submitJob(this, {
		tasks, service, name: this.identifier, daemon,
	});
});

When('an operator accepts a document for {string} that names only endpoint {int}', async function (this: FleetWorld, service: string, endpoint: number) {
	const {zone, name, address} = this.running.endpoints[endpoint - 1]!;
	await this.running.accept(service, document => ({...document, endpoints: {[zone]: [{name, address}]}}));
});

const pushRaw = async (world: FleetWorld, address: string, text: string): Promise<void> => {
	const {text: answer} = await sendRaw(address, [text], rawPatienceMilliseconds);
	const {outcome, status} = parseRawResponse(answer);
	world.results.push({
		outcome,
		status,
		text: answer,
		isCut: false,
		durationMilliseconds: 0,
		retryAfterSeconds: undefined,
	});
};

type BadInput = (world: FleetWorld, address: string) => Promise<void>;

const submitBad = (method: string, path: string, body: string): BadInput => async (world, address) => {
	world.results.push(await submitAsCaller(address, method, path, {body}));
};

const pushBad = (text: string): BadInput => async (world, address) => pushRaw(world, address, text);

const sheetPost = 'POST /v1/services/paysheet/sheet HTTP/1.1\r\nhost: a\r\n';

const badInputs: Readonly<Record<string, BadInput>> = {
	'malformed JSON': submitBad('PUT', '/v1/jobs/bad-1', '{"service": '),
	'a job without tasks': submitBad('PUT', '/v1/jobs/bad-2', '{"service": "paysheet", "tasks": []}'),
	'an unknown service': submitBad('POST', '/v1/services/unknown/sheet', 'x'),
	'a bad identifier': submitBad('PUT', '/v1/jobs/bad%20identifier', jobBody('paysheet', 'bad', 1)),
	'a body above the limit': pushBad(`${sheetPost}content-length: 99999999999\r\n\r\n`),
	'both Content-Length and Transfer-Encoding': pushBad(`${sheetPost}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`),
	'a repeated Content-Length': pushBad(`${sheetPost}content-length: 3\r\ncontent-length: 4\r\n\r\nabc`),
	'a header above the limit': pushBad(`${sheetPost}long: ${'a'.repeat(40_000)}\r\n\r\n`),
};

for (const [input, send] of Object.entries(badInputs)) {
	When(`a caller sends ${input} to daemon {int}`, async function (this: FleetWorld, daemon: number) {
		await send(this, callersOf(this, daemon));
	});
}

When('a daemon is started with the setting {string} of {int}', async function (this: FleetWorld, setting: string, value: number) {
	const directory = await mkdtemp(join(tmpdir(), 'galenakeel-settings-'));
	const path = join(directory, 'settings.jsonc');
	const lines = [
		'"instance": "entry-1"',
		`"${setting}": ${value}`,
		'"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"}',
		'"platform": {"address": "127.0.0.1:4"}',
	];
	await writeFile(path, `{\n\t${lines.join(',\n\t')}\n}\n`);
	const child = spawn(process.execPath, [fileURLToPath(import.meta.resolve('galenakeeld/process/main.js')), '--settings', path]);
	child.stderr.setEncoding('utf8').on('data', (chunk: string) => {
		this.output += chunk;
	});
	const [code] = await once(child, 'close') as [number];
	this.exitCode = code;
});

Then('the caller gets status {int} and the outcome {string}', function (this: FleetWorld, status: number, outcome: string) {
	assert.equal(this.lastResult.status, status, this.lastResult.text);
	assert.equal(this.lastResult.outcome, outcome);
});

Then('the caller gets status {int} and an answer of {int} bytes', function (this: FleetWorld, status: number, bytes: number) {
	assert.equal(this.lastResult.status, status);
	assert.equal(this.lastResult.text.length, bytes);
});

Then('the answer contains {string}', function (this: FleetWorld, text: string) {
	assert.ok(this.lastResult.text.includes(text), this.lastResult.text);
});

Then('both answers are the same', function (this: FleetWorld) {
	assert.equal(this.results.at(-1)!.text, this.results.at(-2)!.text);
	assert.equal(this.results.at(-1)!.status, 200);
});

Then('every task of the job started once', function (this: FleetWorld) {
	const started = this.running.endpoints.flatMap(({standIn}) => standIn.starts().map(({task}) => task)).filter(task => task.startsWith(`${this.identifier}-`));
	assert.ok(started.length > 0);
	assert.equal(new Set(started).size, started.length);
});

Then('daemon {int} holds the job', async function (this: FleetWorld, daemon: number) {
	const reply = await call(callersOf(this, daemon), 'GET', `/v1/jobs/${encodeURIComponent(this.identifier)}`);
	assert.equal(reply.status, 200);
	assert.ok(this.identifier.includes(this.running.daemons[daemon - 1]!.instance));
});

Then('within {int} ms requests for {string} reach endpoint {int} only', async function (this: FleetWorld, milliseconds: number, service: string, endpoint: number) {
	await sleep(milliseconds);
	const others = this.running.endpoints.filter((_, position) => position !== endpoint - 1);
	const before = others.map(({standIn}) => standIn.starts().length);
	for (const {callers} of this.running.daemons) {
		const result = await submitAsCaller(callers, 'POST', `/v1/services/${service}/sheet?task=routed&run=5`, {body: ''});
		assert.equal(result.status, 200);
	}

	assert.deepEqual(others.map(({standIn}) => standIn.starts().length), before);
});

Then('daemon {int} still serves {string}', async function (this: FleetWorld, daemon: number, service: string) {
	const result = await submitAsCaller(callersOf(this, daemon), 'POST', `/v1/services/${service}/sheet?task=after&run=5`, {body: 'after'});
	assert.equal(result.status, 200);
});

Then('it exits with code {int} and says {string}', function (this: FleetWorld, code: number, text: string) {
	assert.equal(this.exitCode, code);
	assert.ok(this.output.includes(text), this.output);
});
