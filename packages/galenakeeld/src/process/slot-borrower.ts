import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import type {Peer} from './membership.js';
import type {SlotLease} from './slot-leases.js';

const emptyPauseMilliseconds = 20;

/**
Borrows slots for the waiting tasks of one service.
*/
export type SlotBorrower = {
	/** Wakes the borrower: tasks are waiting and no slot is free. */
	readonly wake: () => void;
	/** Borrows whenever it is woken, until the process ends. */
	readonly run: () => Promise<never>;
	/** Requests sent to peers. */
	readonly messages: () => number;
};

/**
Creates the borrower of one service.

@param options.shortfall Waiting tasks for which no slot is free.
@param options.lenders Reachable peers that last said they have free slots, the best first.
@param options.ask Asks one peer for slots.
@param options.use Puts borrowed slots into use.
*/
export const createSlotBorrower = (options: {
	readonly shortfall: () => number;
	readonly lenders: () => readonly Peer[];
	readonly ask: (lender: Peer, count: number) => Promise<readonly SlotLease[]>;
	readonly use: (leases: readonly SlotLease[]) => void;
}): SlotBorrower => {
	let woken = createDeferred<void>();
	let messages = 0;

	const borrowOnce = async (): Promise<void> => {
		for (const lender of options.lenders()) {
			const count = options.shortfall();
			if (count === 0) {
				return;
			}

			messages++;
			options.use(await options.ask(lender, count));
		}
	};

	return {
		wake() {
			woken.resolve();
		},
		async run() {
			for (;;) {
				await woken.promise;
				woken = createDeferred<void>();
				await borrowOnce();
				if (options.shortfall() > 0) {
					await sleep(emptyPauseMilliseconds);
					woken.resolve();
				}
			}
		},
		messages: () => messages,
	};
};
