import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import * as wire from '@galenakeel/model/connection/generated/peer.js';
import {isFault} from '@galenakeel/model/request/fault.js';
import fc from 'fast-check';
import {HeartbeatProbe, InstanceState, type PeerHeartbeat} from '../../process/membership.js';
import {createHeartbeatReader, createHeartbeatWriter} from '../heartbeat-stream.js';

type StreamWorld = {heartbeat: PeerHeartbeat; bytes: readonly number[]; thrown: unknown};

const names = fc.constantFrom('a', 'b', 'c');

const heartbeats = fc.record({
	instance: fc.constant('entry-1'),
	incarnation: fc.constantFrom('i1', 'i2'),
	zone: fc.constant('zone-a'),
	weight: fc.constantFrom(1, 2),
	callerAddress: fc.constant('10.0.0.1:8000'),
	peerAddress: fc.constant('10.0.0.1:8001'),
	operatorAddress: fc.constant('10.0.0.1:8002'),
	state: fc.constantFrom(...Object.values(InstanceState)),
	// The catalogue version of a sender never decreases, and its heartbeat interval is above 0.
	catalogueVersion: fc.constant(0),
	intervalMilliseconds: fc.integer({min: 1, max: 2000}),
	hints: fc.uniqueArray(fc.record({service: names, free: fc.nat(3), waiting: fc.nat(3)}, {noNullPrototype: true}), {selector: hint => hint.service}),
	leavingEndpoints: fc.uniqueArray(names),
	probe: fc.constantFrom(undefined, ...Object.values(HeartbeatProbe)),
}, {noNullPrototype: true}).map(({probe, ...heartbeat}) => probe ? {...heartbeat, probe} : heartbeat);

const sort = (heartbeat: PeerHeartbeat): PeerHeartbeat => ({
	...heartbeat,
	hints: heartbeat.hints.toSorted((first, second) => first.service < second.service ? -1 : 1),
	leavingEndpoints: heartbeat.leavingEndpoints.toSorted(),
});

const overWire = (message: wire.Heartbeat): wire.Heartbeat => wire.Heartbeat.decode(wire.Heartbeat.encode(message).finish());

Then('any sequence of heartbeats is decoded to the heartbeats that were sent', () => {
	fc.assert(fc.property(fc.array(heartbeats, {maxLength: 12}), sent => {
		const write = createHeartbeatWriter();
		const read = createHeartbeatReader();
		for (const [position, heartbeat] of sent.entries()) {
			const rising = {...heartbeat, catalogueVersion: Math.floor(position / 2)};
			assert.deepEqual(sort(read(overWire(write(rising)))), sort(rising));
		}
	}));
});

Given('a heartbeat with {int} services', function (this: StreamWorld, services: number) {
	const [heartbeat] = fc.sample(heartbeats, {numRuns: 1, seed: 1});
	this.heartbeat = {...heartbeat!, hints: Array.from({length: services}, (_, position) => ({service: `service-${position}`, free: 8, waiting: 0}))};
});

When('it is sent twice on a stream', function (this: StreamWorld) {
	const write = createHeartbeatWriter();
	this.bytes = [this.heartbeat, {...this.heartbeat}].map(heartbeat => wire.Heartbeat.encode(write(heartbeat)).finish().byteLength);
});

Then('the second message takes at most {int} bytes', function (this: StreamWorld, bytes: number) {
	assert.ok(this.bytes[1]! <= bytes, `${this.bytes.join(' and ')} bytes`);
});

When('a stream begins with a delta message', function (this: StreamWorld) {
	try {
		createHeartbeatReader()({...wire.Heartbeat.decode(new Uint8Array()), continues: true});
	} catch (error) {
		this.thrown = error;
	}
});

Then('the reader throws a fault of kind {string}', function (this: StreamWorld, kind: string) {
	assert.ok(isFault(this.thrown));
	assert.equal(this.thrown.name, kind);
});
