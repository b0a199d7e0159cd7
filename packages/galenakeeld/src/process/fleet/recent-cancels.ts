import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';

/**
The cancels that this daemon has sent to owners lately. Messages to a peer are lost while its stream is broken, and an owner that misses a cancel goes on to run the tasks.
*/
export type RecentCancels = {
	/** Records a message to an owner: a cancel is kept, and a later submission of the same part replaces it. */
	readonly record: (address: string, message: FleetMessage) => void;
	/** Returns the cancels for an owner whose stream was opened again, oldest first. */
	readonly of: (address: string) => readonly FleetMessage[];
};

type SentCancel = {readonly address: string; readonly message: FleetMessage; readonly at: number};

const keyOf = (address: string, job: string, part: string): string => `${address} ${job}/${part}`;

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
	/** Oldest first. */
	const cancels = new Map<string, SentCancel>();

	const removeOld = (): void => {
		const oldest = performance.now() - keepMilliseconds;
		for (const [key, {at}] of cancels) {
			if (at >= oldest) {
				break;
			}

			cancels.delete(key);
		}
	};

	return {
		record(address, message) {
			if (message.kind === FleetMessageKind.Cancel) {
				removeOld();
				cancels.set(keyOf(address, message.job, message.part), {address, message, at: performance.now()});
			} else if (message.kind === FleetMessageKind.Submit) {
				cancels.delete(keyOf(address, message.order.job.identifier, message.order.part));
			}
		},
		of(address) {
			removeOld();
			return [...cancels.values()].filter(cancel => cancel.address === address).map(({message}) => message);
		},
	};
};
