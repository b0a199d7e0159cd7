import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {Peer} from './membership.js';
import type {HeldSlots} from './held-slots.js';
import type {SlotRequest} from './lent-slots.js';
import {sizeOf, type SlotLease} from './slot-lease.js';
import type {TeamLoad} from './team-loads.js';

/** Requests to peers allowed for each started task; with the replies this makes twice as many messages. */
const requestsPerTask = 0.015;
/** Requests per second that are always allowed, even when few tasks start. */
const requestsPerSecond = 1;
const maximumRequestTokens = 20;
const minimumPauseMilliseconds = 5;
const initialBackOffMilliseconds = 40;
const maximumBackOffMilliseconds = 1000;
/** Time after which unused slots are returned. */
const idleMilliseconds = 250;
/** Remaining share of a lease at which it is renewed. */
const renewalShare = 0.4;

/**
A request to a lender.
*/
export type BorrowRequest = SlotRequest & {
	/** Leases to renew; other leases from this lender end. */
	readonly held: readonly SlotLease[];
	/** The teams that offer this instance the most work in relation to their share. */
	readonly teams: readonly TeamLoad[];
};

/**
The reply of a lender.
*/
export type LendReply = {
	/** All leases that this instance holds from the lender after the request. */
	readonly leases: readonly SlotLease[];
	readonly leaseMilliseconds: number;
	/** Slots that the lender can still lend for teams within their quota. */
	readonly stillFree: number;
	/** The teams that offer the lender the most work in relation to their share. */
	readonly teams: readonly TeamLoad[];
};

/**
Borrows slots for the waiting tasks of one service.
*/
export type SlotBorrower = {
	/** Wakes the borrower if slots are missing or leases are held; otherwise does nothing. */
	readonly wake: () => void;
	/** Renews, returns and borrows slots each time it is woken, until the process ends. */
	readonly run: () => Promise<never>;
	/** Requests sent to peers. */
	readonly requests: () => number;
};

type LenderRecord = {free: number; freeUpdatedAt: number; backOffMilliseconds: number; retryAt: number};

/**
Creates the borrower of one service.

A token bucket limits the requests. It refills with each started task, and slowly with time, so that the number of messages stays in proportion to the work.

@param options.shortfall Slots that are missing for waiting and expected tasks, and how many of them are for teams within their quota.
@param options.teams Loads that the teams offer to this instance.
@param options.onTeamLoads Called with the team loads in the reply of a lender.
@param options.started Tasks started since the process began.
@param options.peers Known peers.
@param options.advertisedFreeOf Free slots of a peer according to its last heartbeat.
@param options.isBusy Returns whether a peer lends only for teams within their quota.
@param options.requestSlots Requests one peer to renew leases and to lend more slots; `undefined` when it does not reply.
@param options.returnSlots Returns slots to one peer.

@example
```
const borrower = createSlotBorrower({held, shortfall, teams, onTeamLoads, started, peers, advertisedFreeOf, isBusy, requestSlots, returnSlots, onBorrowed: dispatcher.startNext});
void borrower.run();
```
*/
export const createSlotBorrower = (options: {
	readonly held: HeldSlots;
	readonly shortfall: () => SlotRequest;
	readonly teams: () => readonly TeamLoad[];
	readonly onTeamLoads: (lender: string, teams: readonly TeamLoad[]) => void;
	readonly started: () => number;
	readonly peers: () => readonly Peer[];
	readonly advertisedFreeOf: (peer: Peer) => number;
	readonly isBusy: (peer: Peer) => boolean;
	readonly requestSlots: (lender: Peer, request: BorrowRequest) => Promise<LendReply | undefined>;
	readonly returnSlots: (lender: Peer, returned: readonly SlotLease[]) => Promise<void>;
	readonly onBorrowed: () => void;
}): SlotBorrower => {
	const {held: leases} = options;
	const records = new Map<string, LenderRecord>();
	let woken = createDeferred<void>();
	let requests = 0;
	let requestTokens = maximumRequestTokens;
	let refilledTasks = 0;
	let refilledAt = performance.now();

	const refillTokens = (): void => {
		const now = performance.now();
		const earned = (requestsPerTask * (options.started() - refilledTasks)) + (requestsPerSecond * (now - refilledAt) / 1000);
		requestTokens = Math.min(maximumRequestTokens, requestTokens + earned);
		refilledTasks = options.started();
		refilledAt = now;
	};

	const spendToken = (): void => {
		requestTokens--;
		requests++;
	};

	const recordOf = (peer: Peer): LenderRecord => {
		let record = records.get(peer.instance);
		if (!record) {
			record = {
				free: 0, freeUpdatedAt: -Infinity, backOffMilliseconds: initialBackOffMilliseconds, retryAt: 0,
			};
			records.set(peer.instance, record);
		}

		return record;
	};

	/** Free slots of a peer, from its last heartbeat or the last reply, whichever is newer. */
	const freeOf = (peer: Peer): number => {
		const record = recordOf(peer);
		return record.freeUpdatedAt > peer.lastHeartbeatAt ? record.free : options.advertisedFreeOf(peer);
	};

	/**
	Peers to request slots from, by descending number of free slots. A busy peer lends only for teams within their quota.
	*/
	const candidates = (shortfall: SlotRequest): readonly Peer[] => {
		const now = performance.now();
		return options.peers()
			.filter(peer => peer.isReachable && recordOf(peer).retryAt <= now && freeOf(peer) > 0 && (shortfall.withinQuota > 0 || !options.isBusy(peer)))
			.toSorted((first, second) => freeOf(second) - freeOf(first));
	};

	const recordReply = (lender: Peer, reply: LendReply | undefined, isGranted: boolean): void => {
		const record = recordOf(lender);
		record.free = reply?.stillFree ?? 0;
		record.freeUpdatedAt = performance.now();
		if (isGranted) {
			record.backOffMilliseconds = initialBackOffMilliseconds;
		} else {
			record.retryAt = record.freeUpdatedAt + record.backOffMilliseconds;
			record.backOffMilliseconds = Math.min(maximumBackOffMilliseconds, record.backOffMilliseconds * 2);
		}
	};

	const sendRequest = async (lender: Peer, request: SlotRequest): Promise<void> => {
		spendToken();
		const held = leases.leasesToRenew(lender.instance);
		const sentAt = performance.now();
		const reply = await options.requestSlots(lender, {...request, held, teams: options.teams()});
		if (reply) {
			leases.replaceLeases(lender.instance, reply.leases, sentAt + reply.leaseMilliseconds);
			options.onTeamLoads(lender.instance, reply.teams);
			options.onBorrowed();
		}

		if (request.count > 0) {
			recordReply(lender, reply, reply !== undefined && sizeOf(reply.leases) > sizeOf(held));
		}
	};

	const borrow = async (): Promise<void> => {
		for (const lender of candidates(options.shortfall())) {
			const shortfall = options.shortfall();
			if (shortfall.count === 0 || requestTokens < 1) {
				return;
			}

			if (shortfall.withinQuota > 0 || !options.isBusy(lender)) {
				await sendRequest(lender, shortfall);
			}
		}
	};

	const returnIdle = async (lender: Peer): Promise<void> => {
		const returned = leases.releaseIdle(lender.instance);
		if (returned.length > 0) {
			spendToken();
			await options.returnSlots(lender, returned);
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
				await returnIdle(peer);
			} else if (until - now < leases.leaseMilliseconds * renewalShare) {
				await sendRequest(peer, options.shortfall());
			}
		}
	};

	return {
		wake() {
			// An idle borrower is not woken, since there may be hundreds of services.
			if (options.shortfall().count > 0 || leases.lenders().length > 0) {
				woken.resolve();
			}
		},
		async run() {
			for (;;) {
				await woken.promise;
				woken = createDeferred<void>();
				refillTokens();
				await renew();
				await borrow();
				await sleep(minimumPauseMilliseconds);
			}
		},
		requests: () => requests,
	};
};
