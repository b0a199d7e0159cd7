import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {HeartbeatSource} from '../connection/peer-connection.js';
import type {PeerHeartbeat} from './membership.js';

/**
The heartbeats that this instance sends on one stream.
*/
export type TimedHeartbeatSource = HeartbeatSource & {
	/** Makes the stream send a heartbeat now. */
	readonly sendNow: () => void;
	/** Begins the time until the next heartbeat anew, because the peer has heard this instance otherwise. Only heartbeats bring all news, so one comes after a few intervals at the latest. */
	readonly postpone: () => void;
};

const maximumPostponedIntervals = 3;

/**
Creates the source of the heartbeats on one stream.

@param current Says what the next heartbeat holds, and how long it is until the one after it.

@example
```
const heartbeats = createHeartbeatSource(() => describeSelf());
heartbeats.announce();
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

	// The interval that the last heartbeat announced, so that the peer knows of a longer one before it begins.
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
