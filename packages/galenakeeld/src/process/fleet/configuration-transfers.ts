import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';
import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';

export type ConfigurationTransfersOptions = {
	readonly current: () => QueueConfiguration | undefined;
	/** Sends a message on a connection of its own; rejects if the peer doesn't read it in time. */
	readonly sendAlone: (address: string, message: FleetMessage) => Promise<void>;
};

/** Number of configurations that are sent at the same time. A peer that gets no answer asks another daemon. */
const maximumTransfers = 3;

/**
Creates a function that sends the configuration to a peer that has asked for it.

@example
```
const sendConfiguration = createConfigurationTransfers({current: configuration.current, sendAlone});
await sendConfiguration('10.1.0.13:7720');
```
*/
export const createConfigurationTransfers = ({current, sendAlone}: ConfigurationTransfersOptions) => {
	const receivers = new Set<string>();

	return async (address: string): Promise<void> => {
		const configuration = current();
		if (!configuration || receivers.has(address) || receivers.size >= maximumTransfers) {
			return;
		}

		receivers.add(address);
		try {
			await sendAlone(address, {kind: FleetMessageKind.Configuration, configuration});
		} catch {
			// The peer asks again.
		} finally {
			receivers.delete(address);
		}
	};
};
