import {createInbox, type Inbox} from '@galenakeel/model/connection/inbox.js';
import {FleetMessageKind, type JobUpdate} from '@galenakeel/model/connection/fleet-message.js';

/**
What the holder of a job hears beside the news of the cell's owner.
*/
export enum HolderEvent {
	/** The owner that has the job is gone, or another daemon orders the cell now. */
	OwnerLost = 'owner-lost',
	/** Messages to or from the owner may have been lost. */
	OwnerReached = 'owner-reached',
	/** The caller has left. */
	CallerLeft = 'caller-left',
}

export type HolderNews = JobUpdate | {readonly kind: HolderEvent};

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
	readonly news: Inbox<HolderNews>;
	/** Notes which owner has the part. */
	readonly follow: (cell: string, owner: CellOwner | undefined) => void;
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
	readonly deliver: (from: string, news: JobUpdate) => void;
	/** Tells the jobs whose owner no longer orders their cell. */
	readonly checkOwners: (findOwner: (cell: string) => CellOwner | undefined) => void;
	/** Tells the jobs at a daemon whose messages may have been lost. */
	readonly announceReached: (address: string) => void;
};

type Holding = {
	readonly identifier: string;
	readonly part: string;
	readonly news: Inbox<HolderNews>;
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
				identifier, part, news: createInbox<HolderNews>(), cell: '', owner: undefined,
			};
			holdings.add(holding);
			return {
				news: holding.news,
				follow(cell, owner) {
					holding.cell = cell;
					holding.owner = owner;
				},
				release() {
					holdings.delete(holding);
					holding.news.close();
				},
			};
		},
		deliver(from, news) {
			for (const {identifier, part, owner, news: inbox} of holdings) {
				// What has succeeded at an earlier owner counts too.
				const isCurrent = owner?.address === from || news.kind === FleetMessageKind.TaskSucceeded;
				if (identifier === news.job && part === news.part && isCurrent) {
					inbox.push(news);
				}
			}
		},
		checkOwners(findOwner) {
			for (const holding of holdings) {
				if (holding.owner && !isSameTerm(holding.owner, findOwner(holding.cell))) {
					holding.owner = undefined;
					holding.news.push({kind: HolderEvent.OwnerLost});
				}
			}
		},
		announceReached(address) {
			for (const {owner, news} of holdings) {
				if (owner?.address === address) {
					news.push({kind: HolderEvent.OwnerReached});
				}
			}
		},
	};
};
