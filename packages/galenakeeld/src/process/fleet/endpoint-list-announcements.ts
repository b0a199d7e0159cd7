import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {zoneOfCell} from './cell-layout.js';
import type {Peer} from './fleet-view.js';

/**
Sends the list of a cell's endpoints to the daemons of its zone, so that any of them can take over the cell while the store is unavailable.
*/
export type EndpointListAnnouncements = {
	/** Sends the lists that have changed since they were last sent to the peers of the cell's zone. */
	readonly announce: () => void;
	/** Sends the current list to a peer that may have missed earlier messages. Does nothing while the peer, and so its zone, is unknown. */
	readonly synchronize: (peer: Peer | undefined) => void;
};

export type EndpointListAnnouncementsOptions = {
	/** Names of the cells that this daemon owns. */
	readonly ownedCells: () => readonly string[];
	readonly endpointsOf: (cell: string) => readonly EndpointEntry[] | undefined;
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
export const createEndpointListAnnouncements = ({ownedCells, endpointsOf, peers, send}: EndpointListAnnouncementsOptions): EndpointListAnnouncements => {
	/** The list that was last sent for each cell, as JSON. */
	const lastSent = new Map<string, string>();

	const sendList = (cell: string, receivers: readonly Peer[]): void => {
		const entries = endpointsOf(cell);
		if (!entries) {
			return;
		}

		for (const peer of receivers.filter(one => one.zone === zoneOfCell(cell))) {
			send(peer.address, {kind: FleetMessageKind.Endpoints, cell, entries});
		}
	};

	return {
		announce() {
			for (const cell of ownedCells()) {
				const text = JSON.stringify(endpointsOf(cell));
				if (lastSent.get(cell) !== text) {
					lastSent.set(cell, text);
					sendList(cell, peers());
				}
			}
		},
		synchronize(peer) {
			if (!peer) {
				return;
			}

			for (const cell of ownedCells()) {
				sendList(cell, [peer]);
			}
		},
	};
};
