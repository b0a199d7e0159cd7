import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {Peer} from './membership.js';
import type {HeldSlots} from './held-slots.js';
import type {SlotRequest} from './lent-slots.js';
import {sizeOf, type SlotLease} from './slot-lease.js';
import type {TeamLoad} from './team-loads.js';

/** Requests to peers for each started task; with their replies they are twice as many messages. */
const requestsPerTask = 0.015;
/** Requests a second that are allowed however few tasks start. */
const requestsPerSecond = 1;
const maximumSavedRequests = 20;
const shortestPauseMilliseconds = 5;
const firstBackOffMilliseconds = 40;
const maximumBackOffMilliseconds = 1000;
/** Time after which slots that are not in use are given back. */
const idleMilliseconds = 250;
/** Part of a lease that is left when it is renewed. */
const renewalShare = 0.4;

/**
What a lender is asked.
*/
export type BorrowRequest = SlotRequest & {
	/** Leases to be renewed; others that the lender has granted are given back. */
	readonly held: readonly SlotLease[];
	/** The teams that offer most to this instance for their share. */
	readonly teams: readonly TeamLoad[];
};

/**
What a lender replies.
*/
export type LendReply = {
	/** All leases that this instance now holds from the lender. */
	readonly leases: readonly SlotLease[];
	readonly leaseMilliseconds: number;
	/** Slots that the lender still has for teams within their quota. */
	readonly stillFree: number;
	/** The teams that offer most to the lender for their share. */
	readonly teams: readonly TeamLoad[];
};

/**
Borrows slots for the waiting tasks of one service.
*/
export type SlotBorrower = {
	/** Wakes the borrower: tasks are waiting and no slot is free, or leases need a look. */
	readonly wake: () => void;
	/** Borrows, renews and returns whenever it is woken, until the process ends. */
	readonly run: () => Promise<never>;
	/** Requests sent to peers. */
	readonly requests: () => number;
};

type LenderRecord = {free: number; learnedAt: number; backOffMilliseconds: number; askAt: number};

/**
Creates the borrower of one service.

Requests are paid from a budget that grows with the started tasks, so that messages stay in proportion to the work.

@param options.shortfall Slots that are missing for the tasks that wait or are expected, and those of teams within their quota among them.
@param options.teams What the teams offer to this instance.
@param options.learn Takes what a lender says of its teams.
@param options.started Tasks started since the process began.
@param options.peers Peers with their last hints.
@param options.hintOf Free slots of a peer by its last heartbeat.
@param options.isBusy Tells whether a peer may lend for teams within their quota only.
@param options.ask Asks one peer to renew what is held and to lend more; `undefined` when it does not reply.
@param options.giveBack Tells one peer that slots are no longer needed.

@example
```
const borrower = createSlotBorrower({held, shortfall, teams, learn, started, peers, hintOf, ask, giveBack, onBorrowed: dispatcher.startNext});
void borrower.run();
```
*/
export const createSlotBorrower = (options: {
	readonly held: HeldSlots;
	readonly shortfall: () => SlotRequest;
	readonly teams: () => readonly TeamLoad[];
	readonly learn: (lender: string, teams: readonly TeamLoad[]) => void;
	readonly started: () => number;
	readonly peers: () => readonly Peer[];
	readonly hintOf: (peer: Peer) => number;
	readonly isBusy: (peer: Peer) => boolean;
	readonly ask: (lender: Peer, request: BorrowRequest) => Promise<LendReply | undefined>;
	readonly giveBack: (lender: Peer, returned: readonly SlotLease[]) => Promise<void>;
	readonly onBorrowed: () => void;
}): SlotBorrower => {
	const {held: leases} = options;
	const records = new Map<string, LenderRecord>();
	let woken = createDeferred<void>();
	let requests = 0;
	let saved = maximumSavedRequests;
	let paidTasks = 0;
	let paidAt = performance.now();

	const collect = (): void => {
		const now = performance.now();
		const earned = (requestsPerTask * (options.started() - paidTasks)) + (requestsPerSecond * (now - paidAt) / 1000);
		saved = Math.min(maximumSavedRequests, saved + earned);
		paidTasks = options.started();
		paidAt = now;
	};

	const pay = (): void => {
		saved--;
		requests++;
	};

	const recordOf = (peer: Peer): LenderRecord => {
		let record = records.get(peer.instance);
		if (!record) {
			record = {
				free: 0, learnedAt: -Infinity, backOffMilliseconds: firstBackOffMilliseconds, askAt: 0,
			};
			records.set(peer.instance, record);
		}

		return record;
	};

	/** The newer of the last heartbeat's hint and the last reply's. */
	const freeOf = (peer: Peer): number => {
		const record = recordOf(peer);
		return record.learnedAt > peer.lastHeartbeatAt ? record.free : options.hintOf(peer);
	};

	/**
	Peers to ask, the one with the most free slots first. One with waiting tasks lends only for teams within their quota.
	*/
	const candidates = (shortfall: SlotRequest): readonly Peer[] => {
		const now = performance.now();
		return options.peers()
			.filter(peer => peer.isReachable && recordOf(peer).askAt <= now && freeOf(peer) > 0 && (shortfall.withinQuota > 0 || !options.isBusy(peer)))
			.toSorted((first, second) => freeOf(second) - freeOf(first));
	};

	const learn = (lender: Peer, reply: LendReply | undefined, isGranted: boolean): void => {
		const record = recordOf(lender);
		record.free = reply?.stillFree ?? 0;
		record.learnedAt = performance.now();
		if (isGranted) {
			record.backOffMilliseconds = firstBackOffMilliseconds;
		} else {
			record.askAt = record.learnedAt + record.backOffMilliseconds;
			record.backOffMilliseconds = Math.min(maximumBackOffMilliseconds, record.backOffMilliseconds * 2);
		}
	};

	const askOnce = async (lender: Peer, wanted: SlotRequest): Promise<void> => {
		pay();
		const held = leases.needed(lender.instance);
		const sentAt = performance.now();
		const reply = await options.ask(lender, {...wanted, held, teams: options.teams()});
		if (reply) {
			leases.hold(lender.instance, reply.leases, sentAt + reply.leaseMilliseconds);
			options.learn(lender.instance, reply.teams);
			options.onBorrowed();
		}

		if (wanted.count > 0) {
			learn(lender, reply, reply !== undefined && sizeOf(reply.leases) > sizeOf(held));
		}
	};

	const borrow = async (): Promise<void> => {
		for (const lender of candidates(options.shortfall())) {
			const shortfall = options.shortfall();
			if (shortfall.count === 0 || saved < 1) {
				return;
			}

			if (shortfall.withinQuota > 0 || !options.isBusy(lender)) {
				await askOnce(lender, shortfall);
			}
		}
	};

	const giveBack = async (lender: Peer): Promise<void> => {
		const returned = leases.release(lender.instance);
		if (returned.length > 0) {
			pay();
			await options.giveBack(lender, returned);
		}
	};

	const renew = async (): Promise<void> => {
		for (const {lender, until, idleSince} of leases.lenders()) {
			const peer = options.peers().find(({instance, isReachable}) => instance === lender && isReachable);
			const now = performance.now();
			if (!peer) {
				continue;
			}

			if (now - idleSince > idleMilliseconds) {
				await giveBack(peer);
			} else if (until - now < leases.leaseMilliseconds * renewalShare) {
				await askOnce(peer, options.shortfall());
			}
		}
	};

	return {
		wake() {
			// Without a shortfall or a holding there is nothing to do, and there may be hundreds of services.
			if (options.shortfall().count > 0 || leases.lenders().length > 0) {
				woken.resolve();
			}
		},
		async run() {
			for (;;) {
				await woken.promise;
				woken = createDeferred<void>();
				collect();
				await renew();
				await borrow();
				await sleep(shortestPauseMilliseconds);
			}
		},
		requests: () => requests,
	};
};
