import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {HeartbeatSource} from '../connection/peer-connection.js';
import type {PeerHeartbeat} from './membership.js';

/**
The heartbeats of this instance, which all streams to peers share.
*/
export type SharedHeartbeatSource = HeartbeatSource & {
	/** Makes every stream send a heartbeat now. */
	readonly announce: () => void;
};

/**
Creates the source of this instance's heartbeats. All streams send at the same time, so that each heartbeat is described once.

@param current Says what the next heartbeat holds, and how long it is until the one after it.

@example
```
const heartbeats = createHeartbeatSource(() => describeSelf());
heartbeats.announce();
```
*/
export const createHeartbeatSource = (current: () => PeerHeartbeat): SharedHeartbeatSource => {
	let next = createDeferred<void>();
	let timer: NodeJS.Timeout | undefined;
	let described: PeerHeartbeat | undefined;

	const beat = (): void => {
		clearTimeout(timer);
		timer = undefined;
		described = undefined;
		const before = next;
		next = createDeferred<void>();
		before.resolve();
	};

	return {
		current() {
			described ??= current();
			return described;
		},
		async untilNext() {
			// The interval that the last heartbeat announced, so that peers know of a longer one before it begins.
			timer ??= setTimeout(beat, described?.intervalMilliseconds);
			return next.promise;
		},
		announce: beat,
	};
};
