import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';

/**
The cancels that this daemon has sent to owners lately. Messages to a peer are lost while its stream is broken, and an owner that misses a cancel goes on to run the tasks.
*/
export type RecentCancels = {
	/** Records a message to an owner if it is a cancel. */
	readonly record: (address: string, message: FleetMessage) => void;
	/** Returns the cancels for an owner whose stream was opened again, oldest first. */
	readonly of: (address: string) => readonly FleetMessage[];
};

type SentCancel = {readonly address: string; readonly message: FleetMessage; readonly at: number};

/**
Creates an empty record.

@param keepMilliseconds How long a cancel is kept.

@example
```
const cancels = createRecentCancels(5000);
cancels.record('10.1.0.13:7720', message);
cancels.of('10.1.0.13:7720');
```
*/
export const createRecentCancels = (keepMilliseconds: number): RecentCancels => {
	/** By assignment, oldest first. */
	const cancels = new Map<number, SentCancel>();

	const removeOld = (): void => {
		const oldest = performance.now() - keepMilliseconds;
		for (const [assignment, {at}] of cancels) {
			if (at >= oldest) {
				break;
			}

			cancels.delete(assignment);
		}
	};

	return {
		record(address, message) {
			if (message.kind === FleetMessageKind.Cancel) {
				removeOld();
				cancels.set(message.assignment, {address, message, at: performance.now()});
			}
		},
		of(address) {
			removeOld();
			return [...cancels.values()].filter(cancel => cancel.address === address).map(({message}) => message);
		},
	};
};
