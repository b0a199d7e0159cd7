import {createInbox, type Inbox} from '@galenakeel/model/connection/inbox.js';
import type {JobUpdate} from '@galenakeel/model/connection/fleet-message.js';

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

export type HolderUpdate
	= | JobUpdate
		| {readonly kind: HolderEvent.OwnerLost | HolderEvent.OwnerReconnected; readonly assignment: number}
		| {readonly kind: HolderEvent.CallerDisconnected};

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
	/** Updates of the present assignment and of earlier ones, since they may arrive late. */
	readonly updates: Inbox<HolderUpdate>;
	/** Records to which owner the part is assigned, and returns the number of the assignment. */
	readonly assign: (cell: string, owner: CellOwner) => number;
	/** Records that no owner has the part. */
	readonly unassign: () => void;
	/** Stops holding the part and closes its inbox. */
	readonly release: () => void;
};

/**
The jobs that this daemon holds.
*/
export type HeldJobs = {
	/** Number of job parts that are held. */
	readonly count: () => number;
	readonly hold: () => HeldJob;
	/** Whether parts of jobs are assigned to the owner at an address. */
	readonly hasJobsAt: (address: string) => boolean;
	/** Addresses of the owners to which parts are assigned. */
	readonly assignedOwners: () => readonly string[];
	/** Delivers an update of an owner to the holding of its assignment. */
	readonly deliver: (from: string, update: JobUpdate) => void;
	/** Notifies the jobs whose owner no longer owns their cell. */
	readonly checkOwners: (findOwner: (cell: string) => CellOwner | undefined) => void;
	/** Notifies the jobs at an owner whose stream was opened again. */
	readonly notifyReconnected: (address: string) => void;
};

type Holding = {
	readonly updates: Inbox<HolderUpdate>;
	/** Numbers of its assignments so far. */
	readonly assignments: number[];
	cell: string;
	/** Undefined while the part is not assigned. */
	owner: CellOwner | undefined;
};

type Assignment = {readonly holding: Holding; readonly ownerAddress: string};

const numbersPerMillisecond = 1000;

const isSameTerm = (first: CellOwner, second: CellOwner | undefined): boolean =>
	first.address === second?.address && first.term === second.term;

/**
Creates an empty set of held jobs. Numbers of assignments begin at the time in microseconds, so that a restarted daemon uses none again.

@example
```
const held = heldJobs.hold();
const assignment = held.assign('ie-south-a', owner);
```
*/
export const createHeldJobs = (): HeldJobs => {
	const holdings = new Set<Holding>();
	const assignments = new Map<number, Assignment>();
	let lastAssignment = Date.now() * numbersPerMillisecond;
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

	const setOwner = (holding: Holding, owner: CellOwner | undefined): void => {
		changeAssigned(holding.owner, -1);
		holding.owner = owner;
		changeAssigned(owner, 1);
	};

	const assign = (holding: Holding, cell: string, owner: CellOwner): number => {
		lastAssignment++;
		assignments.set(lastAssignment, {holding, ownerAddress: owner.address});
		holding.assignments.push(lastAssignment);
		holding.cell = cell;
		setOwner(holding, owner);
		return lastAssignment;
	};

	const release = (holding: Holding): void => {
		holdings.delete(holding);
		for (const assignment of holding.assignments) {
			assignments.delete(assignment);
		}

		setOwner(holding, undefined);
		holding.updates.close();
	};

	const notify = (holding: Holding, kind: HolderEvent.OwnerLost | HolderEvent.OwnerReconnected): void => {
		holding.updates.push({kind, assignment: holding.assignments.at(-1)!});
	};

	return {
		count: () => holdings.size,
		hold() {
			const holding: Holding = {
				updates: createInbox<HolderUpdate>(), assignments: [], cell: '', owner: undefined,
			};
			holdings.add(holding);
			return {
				updates: holding.updates,
				assign: (cell, owner) => assign(holding, cell, owner),
				unassign() {
					setOwner(holding, undefined);
				},
				release() {
					release(holding);
				},
			};
		},
		hasJobsAt: address => assigned.has(address),
		assignedOwners: () => [...assigned.keys()],
		deliver(from, update) {
			const assignment = assignments.get(update.assignment);
			if (assignment?.ownerAddress === from) {
				assignment.holding.updates.push(update);
			}
		},
		checkOwners(findOwner) {
			for (const holding of holdings) {
				if (holding.owner && !isSameTerm(holding.owner, findOwner(holding.cell))) {
					setOwner(holding, undefined);
					notify(holding, HolderEvent.OwnerLost);
				}
			}
		},
		notifyReconnected(address) {
			for (const holding of holdings) {
				if (holding.owner?.address === address) {
					notify(holding, HolderEvent.OwnerReconnected);
				}
			}
		},
	};
};
