import {performance} from 'node:perf_hooks';
import type {BorrowSlotsReply, BorrowSlotsRequest} from '@galenakeel/model/connection/generated/peer.js';
import type {PeerCalls} from '../connection/peer-connection.js';
import type {Peer} from './membership.js';
import type {ServiceDispatchers} from './service-dispatchers.js';
import type {LendReply} from './slot-borrower.js';
import type {SlotLease} from './slot-leases.js';

/** A lender that takes longer is no help to a task that lasts well under a second. */
const longestCallMilliseconds = 250;

/**
Calls that borrow slots of peers and give them back; neither throws.
*/
export type LendingCalls = {
	/** Asks a peer to renew leases and to lend more; `undefined` when it does not reply. */
	readonly borrowSlots: (lender: Peer, service: string, held: readonly SlotLease[], count: number) => Promise<LendReply | undefined>;
	readonly returnSlots: (lender: Peer, service: string, returned: readonly SlotLease[]) => Promise<void>;
};

/**
Creates the calls of an instance to its lenders.

@param options.callsOf Finds the calls to an instance by its name.
*/
export const createLendingCalls = (options: {
	readonly instance: string;
	readonly callsOf: (instance: string) => PeerCalls | undefined;
	readonly callTimeoutMilliseconds: number;
}): LendingCalls => {
	const borrower = options.instance;
	const timeoutMilliseconds = Math.min(longestCallMilliseconds, options.callTimeoutMilliseconds);
	return {
		async borrowSlots(lender, service, held, count) {
			try {
				return await options.callsOf(lender.instance)?.borrowSlots({
					borrower, service, held: [...held], count,
				}, timeoutMilliseconds);
			} catch {
				return undefined;
			}
		},
		async returnSlots(lender, service, returned) {
			try {
				await options.callsOf(lender.instance)?.returnSlots({borrower, service, leases: [...returned]}, timeoutMilliseconds);
			} catch {
				// The leases expire at the lender.
			}
		},
	};
};

/**
Lends slots to a peer that asks for them.
*/
export const lendSlots = (dispatchers: ServiceDispatchers, request: BorrowSlotsRequest): BorrowSlotsReply => {
	const dispatched = dispatchers.serviceOf(request.service);
	return {
		leases: [...dispatched?.leases.lend(request.borrower, request.held, request.count, performance.now()) ?? []],
		leaseMilliseconds: dispatched?.leases.leaseMilliseconds ?? 0,
		stillFree: dispatched?.dispatcher.surplus() ?? 0,
	};
};
