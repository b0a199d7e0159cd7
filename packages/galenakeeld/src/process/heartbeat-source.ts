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
Creates the source of this instance's heartbeats.

@param current Says what the next heartbeat holds.
@param onSend Called with each heartbeat that a stream is about to send.

@example
```
const heartbeats = createHeartbeatSource(() => describeSelf(), 500, () => heartbeatsSent++);
heartbeats.announce();
```
*/
export const createHeartbeatSource = (current: () => PeerHeartbeat, intervalMilliseconds: number, onSend: () => void): SharedHeartbeatSource => {
	let announced = createDeferred<void>();
	return {
		current() {
			onSend();
			return current();
		},
		async untilNext() {
			const {promise} = announced;
			let timer: NodeJS.Timeout | undefined;
			const due = new Promise<void>(resolve => {
				timer = setTimeout(resolve, intervalMilliseconds);
			});
			await Promise.race([due, promise]);
			clearTimeout(timer);
		},
		announce() {
			const before = announced;
			announced = createDeferred<void>();
			before.resolve();
		},
	};
};
