import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {HeartbeatSource} from '../connection/peer-connection.js';
import type {PeerHeartbeat} from './membership.js';

/**
The heartbeats that this instance sends on one stream.
*/
export type TimedHeartbeatSource = HeartbeatSource & {
	/** Makes the stream send a heartbeat immediately. */
	readonly sendNow: () => void;
	/** Restarts the timer of the next heartbeat, because another message has shown the peer that this instance is alive. Only a heartbeat carries the whole state, so one is sent after `maximumPostponedIntervals` at the latest. */
	readonly postpone: () => void;
};

const maximumPostponedIntervals = 3;

/**
Creates the source of the heartbeats on one stream.

@param current Returns the next heartbeat, including the time until the one after it.

@example
```
const heartbeats = createHeartbeatSource(() => describeSelf());
heartbeats.sendNow();
```
*/
export const createHeartbeatSource = (current: () => PeerHeartbeat): TimedHeartbeatSource => {
	let next = createDeferred<void>();
	let timer: NodeJS.Timeout | undefined;
	let described: PeerHeartbeat | undefined;
	let describedAt = 0;

	const stopTimer = (): void => {
		clearTimeout(timer);
		timer = undefined;
	};

	const sendHeartbeat = (): void => {
		stopTimer();
		described = undefined;
		const before = next;
		next = createDeferred<void>();
		before.resolve();
	};

	// Uses the interval announced by the last heartbeat, so that the peer learns of a longer interval before it applies.
	const startTimer = (): void => {
		timer ??= setTimeout(sendHeartbeat, described?.intervalMilliseconds);
	};

	return {
		current() {
			if (!described) {
				described = current();
				describedAt = performance.now();
			}

			return described;
		},
		async untilNext() {
			startTimer();
			return next.promise;
		},
		sendNow: sendHeartbeat,
		postpone() {
			const isDue = described && performance.now() - describedAt > described.intervalMilliseconds * maximumPostponedIntervals;
			if (timer && !isDue) {
				stopTimer();
				startTimer();
			}
		},
		close() {
			stopTimer();
			next.resolve();
		},
	};
};
