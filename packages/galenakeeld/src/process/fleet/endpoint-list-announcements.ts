import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {Peer} from './fleet-view.js';

/**
Sends the list of a zone's endpoints to the daemons of the zone, so that any of them can take over the cell while the store is unavailable.
*/
export type EndpointListAnnouncements = {
	/** Sends the lists that have changed since they were last sent to the peers of their zone. */
	readonly announce: () => void;
	/** Sends the current list to a peer that may have missed earlier messages. Does nothing while the peer, and so its zone, is unknown. */
	readonly synchronize: (peer: Peer | undefined) => void;
};

export type EndpointListAnnouncementsOptions = {
	/** Zones whose cells this daemon owns. */
	readonly ownedZones: () => readonly string[];
	readonly endpointsOf: (zone: string) => readonly EndpointEntry[] | undefined;
	readonly peers: () => readonly Peer[];
	readonly send: (address: string, message: FleetMessage) => void;
};

/**
Creates the announcements, with nothing sent yet.

@example
```
const lists = createEndpointListAnnouncements(options);
lists.announce();
```
*/
export const createEndpointListAnnouncements = ({ownedZones, endpointsOf, peers, send}: EndpointListAnnouncementsOptions): EndpointListAnnouncements => {
	/** The list that was last sent to the peers of each zone, as JSON. */
	const lastSent = new Map<string, string>();

	const sendList = (zone: string, receivers: readonly Peer[]): void => {
		const entries = endpointsOf(zone);
		if (!entries) {
			return;
		}

		for (const peer of receivers.filter(one => one.zone === zone)) {
			send(peer.address, {kind: FleetMessageKind.Endpoints, cell: zone, entries});
		}
	};

	return {
		announce() {
			for (const zone of ownedZones()) {
				const text = JSON.stringify(endpointsOf(zone));
				if (lastSent.get(zone) !== text) {
					lastSent.set(zone, text);
					sendList(zone, peers());
				}
			}
		},
		synchronize(peer) {
			if (!peer) {
				return;
			}

			for (const zone of ownedZones()) {
				sendList(zone, [peer]);
			}
		},
	};
};
