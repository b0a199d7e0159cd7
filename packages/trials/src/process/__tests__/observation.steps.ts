import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {RequestRecord} from '@galenakeel/model/process/request-record.js';
import {call, type HttpReply} from '@galenakeel/stand-ins/connection/http-json.js';
import type {FleetWorld} from './fleet-world.js';

const traceId = '4bf92f3577b34da6a3ce929d0e0e4736';
const traceparent = `00-${traceId}-00f067aa0ba902b7-01`;
const exportMilliseconds = 8000;
const lookMilliseconds = 100;
const logMilliseconds = 2000;
const logLookMilliseconds = 10;

type SpanLine = {readonly trace: string; readonly span: string; readonly parent?: string; readonly name: string};

const replies = new WeakMap<FleetWorld, HttpReply>();
const spanFiles = new WeakMap<FleetWorld, string>();

const daemonOf = (world: FleetWorld, daemon: number): FleetWorld['running']['daemons'][number] => world.running.daemons[daemon - 1]!;

const send = async (world: FleetWorld, daemon: number, service: string, headers: Readonly<Record<string, string>>): Promise<void> => {
	replies.set(world, await call(daemonOf(world, daemon).callers, 'POST', `/v1/services/${service}/sheet?task=seen&run=5`, {body: 'x', headers}));
};

const requestIdOf = (world: FleetWorld): string => String(replies.get(world)!.headers['galenakeel-request']);

const readRecord = async (world: FleetWorld, daemon: number, identifier: string): Promise<RequestRecord> => {
	const reply = await call(daemonOf(world, daemon).operators, 'GET', `/v1/records/${encodeURIComponent(identifier)}`);
	assert.equal(reply.status, 200, reply.text);
	return JSON.parse(reply.text) as RequestRecord;
};

const kindsOf = (record: RequestRecord): string => record.steps.map(({kind}) => kind).join(', ');

Given('a traced fleet of {int} zones with {int} daemon and {int} endpoint each', async function (this: FleetWorld, zones: number, daemonsPerZone: number, endpointsPerZone: number) {
	const file = join(mkdtempSync(join(tmpdir(), 'galenakeel-spans-')), 'spans.jsonl');
	spanFiles.set(this, file);
	await this.start({
		zones: ['zone-a', 'zone-b', 'zone-c'].slice(0, zones), daemonsPerZone, endpointsPerZone, settings: {traces: {samplingRatio: 1, file}},
	});
});

When('a caller sends a traced request to {string} through daemon {int}', async function (this: FleetWorld, service: string, daemon: number) {
	await send(this, daemon, service, {traceparent});
});

When('a caller with the credentials {string} sends a request to {string} through daemon {int}', async function (this: FleetWorld, secret: string, service: string, daemon: number) {
	await send(this, daemon, service, {authorization: `Bearer ${secret}`, cookie: `session=${secret}`});
});

When('the log level of daemon {int} is set to {string}', async function (this: FleetWorld, daemon: number, level: string) {
	const reply = await call(daemonOf(this, daemon).operators, 'PUT', '/v1/log-level', {body: JSON.stringify({level})});
	assert.equal(reply.status, 200, reply.text);
});

Then('the log level {string} is refused by daemon {int} with status {int}', async function (this: FleetWorld, level: string, daemon: number, status: number) {
	const reply = await call(daemonOf(this, daemon).operators, 'PUT', '/v1/log-level', {body: JSON.stringify({level})});
	assert.equal(reply.status, status, reply.text);
});

Then('the record of the traced request on daemon {int} has the steps {string}', async function (this: FleetWorld, daemon: number, steps: string) {
	assert.equal(kindsOf(await readRecord(this, daemon, requestIdOf(this))), steps);
});

Then('the record of {string} on daemon {int} has the steps {string}', async function (this: FleetWorld, identifier: string, daemon: number, steps: string) {
	assert.equal(kindsOf(await readRecord(this, daemon, identifier)), steps);
});

Then('the record of {string} on daemon {int} counts {int} of the steps {string}', async function (this: FleetWorld, identifier: string, daemon: number, count: number, kind: string) {
	const {steps} = await readRecord(this, daemon, identifier);
	const alike = steps.filter(step => String(step.kind) === kind);
	assert.equal(alike.reduce((total, step) => total + (step.count ?? 1), 0), count);
	assert.ok(alike.length <= this.running.endpoints.length, `${alike.length} entries`);
});

Then('the record of the last request on daemon {int} has the fault {string}', async function (this: FleetWorld, daemon: number, fault: string) {
	const reply = await call(daemonOf(this, daemon).callers, 'POST', '/v1/services/unknown/sheet', {body: 'x'});
	const record = await readRecord(this, daemon, String(reply.headers['galenakeel-request']));
	assert.equal(record.fault, fault);
	assert.equal(record.outcome, 'not run');
});

Then('the metric {string} of daemon {int} is {int}', async function (this: FleetWorld, sample: string, daemon: number, value: number) {
	const reply = await call(daemonOf(this, daemon).operators, 'GET', '/metrics');
	const line = reply.text.split('\n').find(text => text.startsWith(`${sample} `));
	assert.equal(line, `${sample} ${value}`, reply.text);
});

Then('the endpoint of the traced request saw the caller\'s trace', function (this: FleetWorld) {
	const seen = this.running.endpoints.flatMap(({standIn}) => standIn.starts()).find(start => start.task === 'seen');
	assert.equal(seen?.traceparent.split('-')[1], traceId);
});

const readSpans = async (world: FleetWorld): Promise<readonly SpanLine[]> => {
	try {
		const text = await readFile(spanFiles.get(world)!, 'utf8');
		return text.trimEnd().split('\n').map(line => JSON.parse(line) as SpanLine).filter(span => span.trace === traceId);
	} catch {
		return [];
	}
};

Then('the caller\'s trace has the spans {string}', async function (this: FleetWorld, names: string) {
	const wanted = names.split(', ').toSorted();
	const until = Date.now() + exportMilliseconds;
	let spans = await readSpans(this);
	while (spans.length < wanted.length && Date.now() < until) {
		await sleep(lookMilliseconds);
		spans = await readSpans(this);
	}

	assert.deepEqual(spans.map(({name}) => name).toSorted(), wanted);
	const root = spans.find(({name}) => name === 'caller request')!;
	assert.ok(spans.every(span => span === root || span.parent === root.span), JSON.stringify(spans));
});

const readLog = async (world: FleetWorld, daemon: number): Promise<string> =>
	readFile(join(world.running.directory, `${daemonOf(world, daemon).instance}.log`), 'utf8');

const hasEvent = async (world: FleetWorld, daemon: number, event: string): Promise<boolean> => {
	const log = await readLog(world, daemon);
	// The last line may not be whole yet.
	const lines = log.split('\n').slice(0, -1).map(line => JSON.parse(line) as {event: string; identifier?: string});
	return lines.some(line => line.event === event && line.identifier === requestIdOf(world));
};

// The log never blocks a daemon: lines are written behind the answers that they tell of.
Then('the log of daemon {int} has a line with the event {string}', async function (this: FleetWorld, daemon: number, event: string) {
	const until = performance.now() + logMilliseconds;
	while (!await hasEvent(this, daemon, event)) {
		assert.ok(performance.now() < until, `the log has no line "${event}" after ${logMilliseconds} ms: ${await readLog(this, daemon)}`);
		await sleep(logLookMilliseconds);
	}
});

Then('the log of daemon {int} does not contain {string}', async function (this: FleetWorld, daemon: number, text: string) {
	const log = await readLog(this, daemon);
	assert.ok(!log.includes(text), log);
});
