import {createInbox, type Inbox} from '@galenakeel/model/connection/inbox.js';
import {FleetMessageKind, type JobUpdate} from '@galenakeel/model/connection/fleet-message.js';

/**
Local events that the holder of a job receives in addition to the updates of the cell's owner.
*/
export enum HolderEvent {
	/** The owner of the job is lost, or another daemon owns the cell now. */
	OwnerLost = 'owner-lost',
	/** The stream to the owner was opened again; messages in either direction may have been lost. */
	OwnerReconnected = 'owner-reached',
	/** The caller has closed its connection. */
	CallerDisconnected = 'caller-left',
}

export type HolderUpdate = JobUpdate | {readonly kind: HolderEvent};

/**
The owner of a cell during one term.
*/
export type CellOwner = {
	readonly address: string;
	/** Changes when the daemon claims the cell anew, and so has lost the state of its jobs. */
	readonly term: number;
	readonly token: number;
};

/**
A part of a job that this daemon holds for its caller.
*/
export type HeldJob = {
	readonly updates: Inbox<HolderUpdate>;
	/** Records which owner has the part; undefined while none has. */
	readonly setOwner: (cell: string, owner: CellOwner | undefined) => void;
	/** Stops holding the part and closes its inbox. */
	readonly release: () => void;
};

/**
The jobs that this daemon holds.
*/
export type HeldJobs = {
	/** Number of job parts that are held. */
	readonly count: () => number;
	readonly hold: (identifier: string, part: string) => HeldJob;
	/** Whether parts of jobs are assigned to the owner at an address. */
	readonly hasJobsAt: (address: string) => boolean;
	/** Addresses of the owners to which parts are assigned. */
	readonly assignedOwners: () => readonly string[];
	/** Delivers an update of an owner to all holdings of its job part. */
	readonly deliver: (from: string, update: JobUpdate) => void;
	/** Notifies the jobs whose owner no longer owns their cell. */
	readonly checkOwners: (findOwner: (cell: string) => CellOwner | undefined) => void;
	/** Notifies the jobs at an owner whose stream was opened again. */
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
	/** Number of parts that are assigned to each owner, by address. */
	const assigned = new Map<string, number>();

	const changeAssigned = (owner: CellOwner | undefined, difference: number): void => {
		if (!owner) {
			return;
		}

		const count = (assigned.get(owner.address) ?? 0) + difference;
		if (count === 0) {
			assigned.delete(owner.address);
		} else {
			assigned.set(owner.address, count);
		}
	};

	const assign = (holding: Holding, owner: CellOwner | undefined): void => {
		changeAssigned(holding.owner, -1);
		holding.owner = owner;
		changeAssigned(owner, 1);
	};

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
					assign(holding, owner);
				},
				release() {
					holdings.delete(holding);
					assign(holding, undefined);
					holding.updates.close();
				},
			};
		},
		hasJobsAt: address => assigned.has(address),
		assignedOwners: () => [...assigned.keys()],
		deliver(from, update) {
			for (const {identifier, part, owner, updates: inbox} of holdings) {
				// A task that succeeded at an earlier owner counts as well.
				const isCurrent = owner?.address === from || update.kind === FleetMessageKind.TaskSucceeded;
				if (identifier === update.job && part === update.part && isCurrent) {
					inbox.push(update);
				}
			}
		},
		checkOwners(findOwner) {
			for (const holding of holdings) {
				if (holding.owner && !isSameTerm(holding.owner, findOwner(holding.cell))) {
					assign(holding, undefined);
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
