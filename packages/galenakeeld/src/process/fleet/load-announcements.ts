import {
	FleetMessageKind, type CellClaim, type CellLoad, type FleetMessage,
} from '@galenakeel/model/connection/fleet-message.js';
import type {Peer} from './fleet-view.js';

export type LoadAnnouncementsOptions = {
	/** The claims of this daemon, with current loads. */
	readonly claims: () => readonly CellClaim[];
	readonly peers: () => readonly Peer[];
	readonly send: (address: string, message: FleetMessage) => void;
};

/** While idle, one call in this many announces. */
const callsPerIdleAnnouncement = 5;
/** Number of owners up to which each call announces. Each further owner adds a call between two announcements, which bounds the messages of each owner. */
const ownersPerCall = 3;

const hasBacklog = (loads: Iterable<CellLoad>): boolean => [...loads].some(({backlogMilliseconds}) => backlogMilliseconds > 0);

/**
Creates a function that sends loads that have changed since its last announcement to the owners of other cells, ahead of the next heartbeat. While no known cell has a backlog, or if there are many owners, most calls send nothing.

@example
```
const announceLoads = createLoadAnnouncements({claims: cells.claims, peers: view.all, send: links.send});
const timer = setInterval(announceLoads, 10);
```
*/
export const createLoadAnnouncements = ({claims, peers, send}: LoadAnnouncementsOptions) => {
	const seen = new Map<string, CellLoad>();
	const lastSent = new Map<string, string>();
	let callsSinceAnnouncement = Number.POSITIVE_INFINITY;

	const isIdle = (owners: readonly Peer[]): boolean =>
		!hasBacklog(claims().map(({load}) => load)) && !owners.some(({loads}) => hasBacklog(loads.values()));

	return (): void => {
		const owners = peers().filter(peer => peer.claims.size > 0);
		callsSinceAnnouncement++;
		const callsPerAnnouncement = Math.max(isIdle(owners) ? callsPerIdleAnnouncement : 1, owners.length - ownersPerCall + 1);
		if (callsSinceAnnouncement < callsPerAnnouncement) {
			return;
		}

		callsSinceAnnouncement = 0;
		for (const {cell, load} of claims()) {
			// A load that was not recomputed is the same object.
			if (load === seen.get(cell)) {
				continue;
			}

			seen.set(cell, load);
			const text = JSON.stringify(load);
			if (text === lastSent.get(cell)) {
				continue;
			}

			lastSent.set(cell, text);
			for (const {address} of owners) {
				send(address, {kind: FleetMessageKind.Load, cell, load});
			}
		}
	};
};
