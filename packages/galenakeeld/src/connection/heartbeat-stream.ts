import * as wire from '@galenakeel/model/connection/generated/peer.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import type {PeerHeartbeat, SlotHint} from '../process/membership.js';
import {heartbeatFromWire, heartbeatToWire} from './peer-encoding.js';

/**
Encodes the heartbeats of one stream as deltas: fields unchanged since the previous heartbeat are omitted.
*/
export type HeartbeatWriter = (heartbeat: PeerHeartbeat) => wire.Heartbeat;

/**
Decodes the heartbeats of one stream and restores omitted fields.

@throws A fault of kind `MalformedRequest` when the first message of the stream is a delta.
*/
export type HeartbeatReader = (message: wire.Heartbeat) => PeerHeartbeat;

const emptyMessage: wire.Heartbeat = wire.Heartbeat.decode(new Uint8Array());

const isSameHint = (first: SlotHint | undefined, second: SlotHint): boolean =>
	first?.free === second.free && first.waiting === second.waiting;

const byService = (hints: readonly SlotHint[]): ReadonlyMap<string, SlotHint> => new Map(hints.map(hint => [hint.service, hint]));

const isSameSender = (first: PeerHeartbeat, second: PeerHeartbeat): boolean =>
	first.instance === second.instance
	&& first.incarnation === second.incarnation
	&& first.zone === second.zone
	&& first.weight === second.weight
	&& first.callerAddress === second.callerAddress
	&& first.peerAddress === second.peerAddress
	&& first.operatorAddress === second.operatorAddress;

const containsAll = (names: ReadonlySet<string>, wanted: readonly string[]): boolean => wanted.every(name => names.has(name));

/** A delta cannot remove a service or a leaving endpoint, so a removal requires a complete heartbeat. */
const isDeltaPossible = (previous: PeerHeartbeat, next: PeerHeartbeat): boolean =>
	isSameSender(previous, next)
	&& containsAll(new Set(next.hints.map(({service}) => service)), previous.hints.map(({service}) => service))
	&& containsAll(new Set(next.leavingEndpoints), previous.leavingEndpoints);

const encodeDelta = (previous: PeerHeartbeat, next: PeerHeartbeat): wire.Heartbeat => {
	const complete = heartbeatToWire(next);
	const hints = byService(previous.hints);
	const previousEndpoints = new Set(previous.leavingEndpoints);
	return {
		...emptyMessage,
		continues: true,
		state: next.state === previous.state ? wire.InstanceState.INSTANCE_STATE_UNSPECIFIED : complete.state,
		catalogueVersion: next.catalogueVersion === previous.catalogueVersion ? 0 : next.catalogueVersion,
		intervalMilliseconds: next.intervalMilliseconds === previous.intervalMilliseconds ? 0 : next.intervalMilliseconds,
		freeSlots: next.hints.filter(hint => !isSameHint(hints.get(hint.service), hint)),
		leavingEndpoints: next.leavingEndpoints.filter(endpoint => !previousEndpoints.has(endpoint)),
		probe: complete.probe,
	};
};

/** A probe is not carried over: it applies only to the heartbeat that contains it. */
const applyDelta = ({probe: _probe, ...previous}: PeerHeartbeat, message: wire.Heartbeat): PeerHeartbeat => {
	const {
		state, catalogueVersion, intervalMilliseconds, hints, leavingEndpoints, probe,
	} = heartbeatFromWire(message);
	return {
		...previous,
		...(probe && {probe}),
		state: message.state === wire.InstanceState.INSTANCE_STATE_UNSPECIFIED ? previous.state : state,
		catalogueVersion: catalogueVersion === 0 ? previous.catalogueVersion : catalogueVersion,
		intervalMilliseconds: intervalMilliseconds === 0 ? previous.intervalMilliseconds : intervalMilliseconds,
		hints: hints.length === 0 ? previous.hints : [...byService([...previous.hints, ...hints]).values()],
		leavingEndpoints: leavingEndpoints.length === 0 ? previous.leavingEndpoints : [...previous.leavingEndpoints, ...leavingEndpoints],
	};
};

type HeartbeatDelta = {readonly previous: PeerHeartbeat; readonly message: wire.Heartbeat};

// All streams send the same sequence of heartbeats, so each delta is computed once and shared.
const deltas = new WeakMap<PeerHeartbeat, HeartbeatDelta>();

const encodeNext = (previous: PeerHeartbeat, next: PeerHeartbeat): wire.Heartbeat => {
	const known = deltas.get(next);
	if (known?.previous === previous) {
		return known.message;
	}

	const message = isDeltaPossible(previous, next) ? encodeDelta(previous, next) : heartbeatToWire(next);
	deltas.set(next, {previous, message});
	return message;
};

/**
Creates the writer for a new stream. Its first message is a complete heartbeat.

@example
```
const write = createHeartbeatWriter();
stream.write(write(source.current()));
```
*/
export const createHeartbeatWriter = (): HeartbeatWriter => {
	let previous: PeerHeartbeat | undefined;
	return heartbeat => {
		const message = previous ? encodeNext(previous, heartbeat) : heartbeatToWire(heartbeat);
		previous = heartbeat;
		return message;
	};
};

/**
Creates the reader for a new stream.
*/
export const createHeartbeatReader = (): HeartbeatReader => {
	let previous: PeerHeartbeat | undefined;
	return message => {
		if (message.continues && !previous) {
			throw createFault(FaultKind.MalformedRequest, 'the first heartbeat of a stream must be complete, but it is a delta');
		}

		previous = message.continues ? applyDelta(previous!, message) : heartbeatFromWire(message);
		return previous;
	};
};
