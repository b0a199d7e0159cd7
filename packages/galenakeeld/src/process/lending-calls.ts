import {performance} from 'node:perf_hooks';
import type {BorrowSlotsReply, BorrowSlotsRequest} from '@galenakeel/model/connection/generated/peer.js';
import type {PeerCalls} from '../connection/peer-connection.js';
import type {Peer} from './membership.js';
import type {ServiceDispatchers} from './service-dispatchers.js';
import type {BorrowRequest, LendReply} from './slot-borrower.js';
import type {SlotLease} from './slot-lease.js';

/** A slot borrowed later than this no longer shortens the wait of a sub-second task. */
const maximumCallMilliseconds = 250;

/**
Calls that borrow slots from peers and return them; neither throws.
*/
export type LendingCalls = {
	/** Requests a peer to renew leases and to lend more slots; `undefined` when the call fails. */
	readonly borrowSlots: (lender: Peer, service: string, request: BorrowRequest) => Promise<LendReply | undefined>;
	/** Returns slots to a peer before their leases expire. */
	readonly returnSlots: (lender: Peer, service: string, returned: readonly SlotLease[]) => Promise<void>;
};

/**
Creates the calls of an instance to its lenders.

@param options.callsOf Returns the calls to an instance by its name.
*/
export const createLendingCalls = (options: {
	readonly instance: string;
	readonly callsOf: (instance: string) => PeerCalls | undefined;
	readonly callTimeoutMilliseconds: number;
}): LendingCalls => {
	const borrower = options.instance;
	const timeoutMilliseconds = Math.min(maximumCallMilliseconds, options.callTimeoutMilliseconds);
	return {
		async borrowSlots(lender, service, {held, count, withinQuota, teams}) {
			try {
				return await options.callsOf(lender.instance)?.borrowSlots({
					borrower, service, held: [...held], count, withinQuota, teams: [...teams],
				}, timeoutMilliseconds);
			} catch {
				return undefined;
			}
		},
		async returnSlots(lender, service, returned) {
			try {
				await options.callsOf(lender.instance)?.returnSlots({borrower, service, leases: [...returned]}, timeoutMilliseconds);
			} catch {
				// The lender gets the slots back when the leases expire.
			}
		},
	};
};

const nothingLent: BorrowSlotsReply = {
	leases: [], leaseMilliseconds: 0, stillFree: 0, teams: [],
};

/**
Handles the borrow request of a peer; lends nothing for an unknown service.
*/
export const lendSlots = (dispatchers: ServiceDispatchers, request: BorrowSlotsRequest): BorrowSlotsReply => {
	const dispatched = dispatchers.serviceOf(request.service);
	if (!dispatched) {
		return nothingLent;
	}

	const {lent, loads, dispatcher} = dispatched;
	const now = performance.now();
	loads.receivePeerLoads(request.borrower, request.teams, now);
	return {
		leases: [...lent.lend(request.borrower, request.held, request, now)],
		leaseMilliseconds: lent.leaseMilliseconds,
		stillFree: dispatcher.surplusWithinQuota(),
		teams: [...loads.largestLoads()],
	};
};
