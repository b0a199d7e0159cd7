import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {Peer} from './fleet-view.js';

/**
Tells the daemons of a zone which endpoints it has, so that any of them can take its cell over while the store is away.
*/
export type EndpointListAnnouncements = {
	/** Tells the peers of the zone what has changed since they were last told. */
	readonly announce: () => void;
	/** Tells a peer that may have missed what was sent, once its zone is known. */
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
Creates lists of which nobody was told yet.

@example
```
const lists = createEndpointLists(options);
lists.announce();
```
*/
export const createEndpointListAnnouncements = ({ownedZones, endpointsOf, peers, send}: EndpointListAnnouncementsOptions): EndpointListAnnouncements => {
	/** What the peers of each zone were last told. */
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
