import assert from 'node:assert/strict';
import {
	Given, Then, When, type DataTable,
} from '@cucumber/cucumber';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {parseRawResponse, sendRaw, type RawAnswer} from '../../connection/raw-caller.js';
import type {FleetWorld} from './fleet-world.js';

const patienceMilliseconds = 4000;
const answerBytes = 1000;
const headEnd = '\r\n\r\n';

type RequestRow = {readonly method: string; readonly task: string; readonly status: string};
type AnswerRow = {readonly status: string; readonly field: string; readonly body: string};

type Asked = {readonly requests: readonly RequestRow[]; readonly answer: RawAnswer; readonly bytes: number};

const asked = new WeakMap<FleetWorld, Asked>();

const endpointBehaviours: Readonly<Record<string, EndpointBehaviour>> = {
	'answer whole': EndpointBehaviour.Normal,
	'send half the answer': EndpointBehaviour.HalfAnswer,
};

for (const [text, behaviour] of Object.entries(endpointBehaviours)) {
	Given(`endpoints that ${text}`, function (this: FleetWorld) {
		for (const {standIn} of this.running.endpoints) {
			standIn.behaviour = behaviour;
		}
	});
}

When('a caller sends on one connection the requests', async function (this: FleetWorld, table: DataTable) {
	const requests = table.hashes() as RequestRow[];
	const text = requests.map(({method, task, status}, position) => {
		const fields = position === requests.length - 1 ? 'connection: close\r\n' : '';
		return `${method} /v1/services/paysheet/sheet?task=${task}&run=5&bytes=${answerBytes}&status=${status} HTTP/1.1\r\nhost: daemon\r\n${fields}\r\n`;
	}).join('');
	asked.set(this, {requests, bytes: answerBytes, answer: await sendRaw(this.running.daemons[0]!.callers, [text], patienceMilliseconds)});
});

Then('the answers on the connection are', function (this: FleetWorld, table: DataTable) {
	const {requests, answer} = asked.get(this)!;
	let rest = answer.text;
	for (const [position, {status, field, body}] of (table.hashes() as AnswerRow[]).entries()) {
		const response = parseRawResponse(rest);
		assert.equal(response.status, Number(status), rest.slice(0, 500));
		assert.equal(response.outcome, Outcome.Complete);
		assert.ok(response.head.toLowerCase().includes(field), response.head);
		assert.ok(!response.head.toLowerCase().includes('transfer-encoding'), response.head);
		// RFC 9110, section 8.6.
		assert.ok(response.status !== 204 || !response.head.toLowerCase().includes('content-length'), response.head);
		const bodyBytes = body === '' ? 0 : answerBytes;
		assert.equal(response.body.slice(0, bodyBytes), body.padEnd(bodyBytes, '.'), requests[position]!.task);
		rest = rest.slice(response.head.length + headEnd.length + bodyBytes);
	}

	assert.equal(rest, '', 'bytes after the last answer');
	assert.ok(answer.isClosed);
});

When(String.raw`a caller of HTTP\/1.0 asks {string} for an answer of {int} bytes`, async function (this: FleetWorld, service: string, bytes: number) {
	const text = `GET /v1/services/${service}/sheet?task=old&run=5&bytes=${bytes} HTTP/1.0\r\n\r\n`;
	asked.set(this, {requests: [], bytes, answer: await sendRaw(this.running.daemons[0]!.callers, [text], patienceMilliseconds)});
});

const isWhole = ({answer, bytes}: Asked): boolean => {
	const {status, outcome, head, body} = parseRawResponse(answer.text);
	// Without a length, the end of the connection could be a cut.
	return status === 200 && outcome === Outcome.Complete && head.toLowerCase().includes(`content-length: ${bytes}`) && body === 'old:'.padEnd(bytes, '.');
};

const isClearRefusal = ({answer}: Asked): boolean => {
	const {status, head, body} = parseRawResponse(answer.text);
	const isInternal = body.includes(`urn:galenakeel:fault:${FaultKind.Internal}`);
	return status >= 400 && !isInternal && head.includes('galenakeel-outcome: ') && head.toLowerCase().includes(`content-length: ${body.length}`);
};

/** Nothing that could be taken for a whole answer. */
const isCut = ({answer}: Asked): boolean => {
	const {status, head, body} = parseRawResponse(answer.text);
	const length = /content-length: (?<length>\d+)/v.exec(head.toLowerCase())?.groups?.length;
	return status === 0 || (length !== undefined && Number(length) > body.length);
};

const results: Readonly<Record<string, (seen: Asked) => boolean>> = {
	'the whole answer': isWhole,
	'the whole answer or a clear refusal': seen => isWhole(seen) || isClearRefusal(seen),
	'a clear refusal or a cut': seen => isClearRefusal(seen) || isCut(seen),
};

for (const [text, isGiven] of Object.entries(results)) {
	Then(`it gets ${text}`, function (this: FleetWorld) {
		const seen = asked.get(this)!;
		assert.ok(isGiven(seen), seen.answer.text.slice(0, 1000));
		assert.ok(seen.answer.isClosed, 'the connection is open');
	});
}
