import {performance} from 'node:perf_hooks';

/**
Which frames of this daemon its peers have not confirmed, on the present connection to each. All times are monotonic milliseconds of this daemon.
*/
export type UnconfirmedFrames = {
	/** Records that the connection to a peer has opened, so that earlier frames count no more. */
	readonly recordOpened: (address: string) => void;
	readonly recordSent: (address: string, sentAt: number) => void;
	/** Records that a frame of a peer has arrived, and which frame it confirms; undefined if none. */
	readonly recordReceived: (address: string, confirmedSentAt: number | undefined) => void;
	/** Whether a frame of the peer has arrived that doesn't confirm what was sent so long before it. */
	readonly isUnheard: (address: string, milliseconds: number) => boolean;
};

type StreamRecord = {
	/** When unconfirmed frames were sent, in order. */
	sentTimes: number[];
	receivedAt: number;
};

/** Time between two recorded frames; those between them are confirmed with the next. */
const spacingMilliseconds = 100;
/** The first ones suffice to tell how long a peer has heard nothing. */
const maximumTimes = 100;

/**
Creates an empty record.

@example
```
const unconfirmed = createUnconfirmedFrames();
unconfirmed.recordSent('10.1.0.13:7720', performance.now());
unconfirmed.isUnheard('10.1.0.13:7720', 1800); // => false
```
*/
export const createUnconfirmedFrames = (): UnconfirmedFrames => {
	const records = new Map<string, StreamRecord>();

	return {
		recordOpened(address) {
			records.set(address, {sentTimes: [], receivedAt: Number.NEGATIVE_INFINITY});
		},
		recordSent(address, sentAt) {
			const sentTimes = records.get(address)?.sentTimes;
			if (sentTimes && sentTimes.length < maximumTimes && sentAt - (sentTimes.at(-1) ?? Number.NEGATIVE_INFINITY) >= spacingMilliseconds) {
				sentTimes.push(sentAt);
			}
		},
		recordReceived(address, confirmedSentAt = Number.NEGATIVE_INFINITY) {
			const record = records.get(address);
			if (record) {
				record.sentTimes = record.sentTimes.filter(sentAt => sentAt > confirmedSentAt);
				record.receivedAt = performance.now();
			}
		},
		isUnheard(address, milliseconds) {
			const record = records.get(address);
			const [oldest = Number.POSITIVE_INFINITY] = record?.sentTimes ?? [];
			return (record?.receivedAt ?? Number.NEGATIVE_INFINITY) - oldest > milliseconds;
		},
	};
};
