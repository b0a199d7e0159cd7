import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';

/**
Messages sent to, or received from, other daemons so far.
*/
export type Traffic = {
	readonly frames: number;
	readonly messages: number;
	/** Heartbeats among the messages. */
	readonly heartbeats: number;
	readonly bytes: number;
	/** Time spent on encoding or decoding frames. */
	readonly codingMilliseconds: number;
};

/**
Messages of one kind so far.
*/
export type KindTraffic = {
	readonly messages: number;
	/** Encoded size; 0 where it is not measured. */
	readonly bytes: number;
};

/**
Traffic in one direction.
*/
export type TrafficCounter = {
	/** Records a frame; `messageBytes` has the encoded size of each message if it is known. */
	readonly record: (messages: readonly FleetMessage[], bytes: number, codingMilliseconds: number, messageBytes?: readonly number[]) => void;
	readonly totals: () => Traffic;
	readonly kinds: () => ReadonlyMap<FleetMessageKind, KindTraffic>;
};

const isHeartbeat = ({kind}: FleetMessage): boolean => kind === FleetMessageKind.Heartbeat;

/**
Creates a counter without traffic.

@example
```
const sent = createTrafficCounter();
sent.record([heartbeat], 310, 0.04, [250]);
sent.totals().heartbeats; // => 1
sent.kinds().get(FleetMessageKind.Heartbeat)?.bytes; // => 250
```
*/
export const createTrafficCounter = (): TrafficCounter => {
	let totals: Traffic = {
		frames: 0, messages: 0, heartbeats: 0, bytes: 0, codingMilliseconds: 0,
	};
	const kinds = new Map<FleetMessageKind, KindTraffic>();

	const recordKind = (kind: FleetMessageKind, messageBytes: number): void => {
		const {messages, bytes} = kinds.get(kind) ?? {messages: 0, bytes: 0};
		kinds.set(kind, {messages: messages + 1, bytes: bytes + messageBytes});
	};

	return {
		record(messages, bytes, codingMilliseconds, messageBytes = []) {
			for (const [position, {kind}] of messages.entries()) {
				recordKind(kind, messageBytes[position] ?? 0);
			}

			totals = {
				frames: totals.frames + 1,
				messages: totals.messages + messages.length,
				heartbeats: totals.heartbeats + messages.filter(message => isHeartbeat(message)).length,
				bytes: totals.bytes + bytes,
				codingMilliseconds: totals.codingMilliseconds + codingMilliseconds,
			};
		},
		totals: () => totals,
		kinds: () => new Map(kinds),
	};
};
