import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';
import type {Peer} from './fleet-view.js';

export type ConfigurationAnnouncementsOptions = {
	/** Zone of this daemon. */
	readonly zone: string;
	readonly current: () => QueueConfiguration | undefined;
	readonly peers: () => readonly Peer[];
	readonly send: (address: string, message: FleetMessage) => void;
};

/** Delay of the first announcement to a peer of the zone for each peer, since all of them may announce. */
const delayPerPeerMilliseconds = 40;
/** The same for peers of other zones, which hear of versions later. */
const remoteDelayPerPeerMilliseconds = 120;
const repeatMilliseconds = 2000;

/**
Creates a function that sends the configuration to peers that have had an older one for a while. Most peers read it from the store by themselves.

@example
```
const announceConfiguration = createConfigurationAnnouncements({zone: 'north', current: configuration.current, peers: view.all, send: links.send});
const timer = setInterval(announceConfiguration, 50);
```
*/
export const createConfigurationAnnouncements = ({zone, current, peers, send}: ConfigurationAnnouncementsOptions) => {
	/** Time at which the configuration is sent to a peer that is still behind by then, in monotonic milliseconds. */
	const dueAt = new Map<string, number>();

	return (): void => {
		const configuration = current();
		if (!configuration) {
			return;
		}

		const now = performance.now();
		const all = peers();
		for (const peer of all) {
			if (peer.configurationVersion >= configuration.version) {
				dueAt.delete(peer.address);
				continue;
			}

			const delay = all.length * (peer.zone === zone ? delayPerPeerMilliseconds : remoteDelayPerPeerMilliseconds);
			const due = dueAt.get(peer.address) ?? now + delay;
			if (now >= due) {
				send(peer.address, {kind: FleetMessageKind.Configuration, configuration});
			}

			dueAt.set(peer.address, now >= due ? now + repeatMilliseconds : due);
		}
	};
};
