import {createInbox, type Inbox} from '@galenakeel/model/connection/inbox.js';
import {FleetMessageKind, type JobNews} from '@galenakeel/model/connection/fleet-message.js';

/**
What the holder of a job hears beside the news of the cell's owner.
*/
export enum HolderEvent {
	/** The owner that has the job is gone, or another daemon orders the cell now. */
	OwnerLost = 'owner-lost',
	/** Messages to or from the owner may have been lost. */
	OwnerReconnected = 'owner-reached',
	/** The caller has left. */
	CallerDisconnected = 'caller-left',
}

export type HolderUpdate = JobNews | {readonly kind: HolderEvent};

/**
The daemon that orders a cell, in one term.
*/
export type CellOwner = {
	readonly address: string;
	/** Tells apart what the daemon still knows of its jobs from what it has forgotten. */
	readonly term: number;
	readonly token: number;
};

/**
A part of a job that this daemon holds for its caller.
*/
export type HeldJob = {
	readonly updates: Inbox<HolderUpdate>;
	/** Notes which owner has the part. */
	readonly setOwner: (cell: string, owner: CellOwner | undefined) => void;
	/** Ends the holding. */
	readonly release: () => void;
};

/**
The jobs that this daemon holds.
*/
export type HeldJobs = {
	/** Number of parts that are held. */
	readonly count: () => number;
	readonly hold: (identifier: string, part: string) => HeldJob;
	/** Hands news of an owner to the job's holders. */
	readonly deliver: (from: string, update: JobNews) => void;
	/** Tells the jobs whose owner no longer orders their cell. */
	readonly checkOwners: (findOwner: (cell: string) => CellOwner | undefined) => void;
	/** Tells the jobs at a daemon whose messages may have been lost. */
	readonly notifyReconnected: (address: string) => void;
};

type Holding = {
	readonly identifier: string;
	readonly part: string;
	readonly updates: Inbox<HolderUpdate>;
	cell: string;
	owner: CellOwner | undefined;
};

const isSameTerm = (first: CellOwner, second: CellOwner | undefined): boolean =>
	first.address === second?.address && first.term === second.term;

/**
Creates an empty set of held jobs. A caller that repeats an identifier adds a holding of the same job.

@example
```
const held = heldJobs.hold('5c0e7a21d94b36f8', '0');
```
*/
export const createHeldJobs = (): HeldJobs => {
	const holdings = new Set<Holding>();
	return {
		count: () => holdings.size,
		hold(identifier, part) {
			const holding: Holding = {
				identifier, part, updates: createInbox<HolderUpdate>(), cell: '', owner: undefined,
			};
			holdings.add(holding);
			return {
				updates: holding.updates,
				setOwner(cell, owner) {
					holding.cell = cell;
					holding.owner = owner;
				},
				release() {
					holdings.delete(holding);
					holding.updates.close();
				},
			};
		},
		deliver(from, update) {
			for (const {identifier, part, owner, updates: inbox} of holdings) {
				// What has succeeded at an earlier owner counts too.
				const isCurrent = owner?.address === from || update.kind === FleetMessageKind.TaskSucceeded;
				if (identifier === update.job && part === update.part && isCurrent) {
					inbox.push(update);
				}
			}
		},
		checkOwners(findOwner) {
			for (const holding of holdings) {
				if (holding.owner && !isSameTerm(holding.owner, findOwner(holding.cell))) {
					holding.owner = undefined;
					holding.updates.push({kind: HolderEvent.OwnerLost});
				}
			}
		},
		notifyReconnected(address) {
			for (const {owner, updates} of holdings) {
				if (owner?.address === address) {
					updates.push({kind: HolderEvent.OwnerReconnected});
				}
			}
		},
	};
};
