import type {ControlMessageCounts} from '@galenakeel/model/process/daemon-status.js';

/**
Counts of the messages for slot sharing and failure detection between daemons.
*/
export type ControlMessages = {
	/** Counts a message to a peer by the name of its call; a request and its reply count as two messages. */
	readonly count: (call: string) => void;
	readonly counts: () => ControlMessageCounts;
};

const heartbeatCall = 'Heartbeats';
const slotCallNames: ReadonlySet<string> = new Set(['BorrowSlots', 'ReturnSlots']);

/**
Creates the counts, starting at zero.
*/
export const createControlMessages = (): ControlMessages => {
	let heartbeats = 0;
	let slotCalls = 0;
	return {
		count(call) {
			if (call === heartbeatCall) {
				heartbeats++;
			} else if (slotCallNames.has(call)) {
				slotCalls++;
			}
		},
		counts: () => ({heartbeats, slotCalls}),
	};
};
