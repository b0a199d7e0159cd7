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
Traffic in one direction.
*/
export type TrafficCounter = {
	readonly record: (messages: readonly FleetMessage[], bytes: number, codingMilliseconds: number) => void;
	readonly totals: () => Traffic;
};

const isHeartbeat = ({kind}: FleetMessage): boolean => kind === FleetMessageKind.Heartbeat;

/**
Creates a counter without traffic.

@example
```
const sent = createTrafficCounter();
sent.record([heartbeat], 310, 0.04);
sent.totals().heartbeats; // => 1
```
*/
export const createTrafficCounter = (): TrafficCounter => {
	let totals: Traffic = {
		frames: 0, messages: 0, heartbeats: 0, bytes: 0, codingMilliseconds: 0,
	};
	return {
		record(messages, bytes, codingMilliseconds) {
			totals = {
				frames: totals.frames + 1,
				messages: totals.messages + messages.length,
				heartbeats: totals.heartbeats + messages.filter(message => isHeartbeat(message)).length,
				bytes: totals.bytes + bytes,
				codingMilliseconds: totals.codingMilliseconds + codingMilliseconds,
			};
		},
		totals: () => totals,
	};
};
