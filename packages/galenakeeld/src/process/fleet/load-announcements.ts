import {performance} from 'node:perf_hooks';
import {
	FleetMessageKind, type CellClaim, type FleetMessage,
} from '@galenakeel/model/connection/fleet-message.js';
import type {Peer} from './fleet-view.js';

export type LoadAnnouncementsOptions = {
	/** The claims of this daemon, with current loads. */
	readonly claims: () => readonly CellClaim[];
	readonly peers: () => readonly Peer[];
	readonly send: (address: string, message: FleetMessage) => void;
};

/** Number of owners up to which each call announces to those that are short of capacity. Each further owner adds a call between two announcements, which bounds the messages of each owner. */
const ownersPerCall = 3;
/** Interval of announcements to an owner that has enough capacity of its own. */
const relaxedMilliseconds = 500;

/** An owner that is short of capacity redirects jobs by the loads of the others. */
const isShort = ({loads}: Peer): boolean => [...loads.values()].some(({isShortOfCapacity}) => isShortOfCapacity);

/** What an owner was last sent about a cell. */
type Announcement = {readonly text: string; readonly at: number};

/**
Creates a function that sends loads that have changed to the owners of other cells, ahead of the next heartbeat. Owners that are short of capacity are sent changes at nearly each call, the others less often; all of them at once when a cell of this daemon becomes short of capacity.

@example
```
const announceLoads = createLoadAnnouncements({claims: cells.claims, peers: view.all, send: links.send});
const timer = setInterval(announceLoads, 10);
```
*/
export const createLoadAnnouncements = ({claims, peers, send}: LoadAnnouncementsOptions) => {
	/** The last announcement by cell and owner. */
	const announced = new Map<string, Announcement>();
	const wereShort = new Set<string>();
	let callsSinceAnnouncement = Number.POSITIVE_INFINITY;

	/** Returns whether a cell has become short of capacity since the last call. */
	const hasBecomeShort = ({cell, load}: Pick<CellClaim, 'cell' | 'load'>): boolean => {
		const wasShort = wereShort.has(cell);
		if (load.isShortOfCapacity) {
			wereShort.add(cell);
		} else {
			wereShort.delete(cell);
		}

		return load.isShortOfCapacity && !wasShort;
	};

	const announce = ({cell, load}: CellClaim, owners: readonly Peer[], now: number): void => {
		const isNewlyShort = hasBecomeShort({cell, load});
		let text: string | undefined;
		for (const owner of owners) {
			const key = `${cell} ${owner.address}`;
			const before = announced.get(key);
			if (!isNewlyShort && !isShort(owner) && now - (before?.at ?? Number.NEGATIVE_INFINITY) < relaxedMilliseconds) {
				continue;
			}

			text ??= JSON.stringify(load);
			if (text !== before?.text) {
				announced.set(key, {text, at: now});
				send(owner.address, {kind: FleetMessageKind.Load, cell, load});
			}
		}
	};

	return (): void => {
		const owners = peers().filter(peer => peer.claims.size > 0);
		callsSinceAnnouncement++;
		if (callsSinceAnnouncement < owners.length - ownersPerCall + 1) {
			return;
		}

		callsSinceAnnouncement = 0;
		const now = performance.now();
		for (const claim of claims()) {
			announce(claim, owners, now);
		}
	};
};
