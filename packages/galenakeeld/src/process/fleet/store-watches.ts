import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {MemberRow, StoreCalls} from '@galenakeel/model/connection/store-calls.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';

/**
Performs a call of the store. Resolves with undefined, and logs the error, if the call fails.
*/
export type TryStore = <Value>(call: string, perform: () => Promise<Value>) => Promise<Value | undefined>;

const endpointListIntervalMilliseconds = 500;
const memberListIntervalMilliseconds = 2000;
const slowMemberListIntervalMilliseconds = 10_000;
/** Time after the start in which the members are listed at the shorter interval. */
const frequentListingMilliseconds = 10_000;
/** Age of a member's row from which this daemon does not connect to its address. */
const staleMemberMilliseconds = 3_600_000;

/**
Lists the endpoints while this daemon owns a cell, and without delay after it claims another one. Ends when the daemon is leaving and owns no cell.
*/
export const watchEndpoints = async (options: {
	readonly store: StoreCalls;
	readonly tryStore: TryStore;
	readonly leaving: AbortSignal;
	readonly ownedCells: () => number;
	/** Waits until this daemon has claimed a cell, but not longer than a time. */
	readonly awaitClaim: (milliseconds: number) => Promise<void>;
	readonly install: (entries: readonly EndpointEntry[]) => void;
}): Promise<void> => {
	while (!options.leaving.aborted || options.ownedCells() > 0) {
		const entries = options.ownedCells() > 0 ? await options.tryStore('listEndpoints', options.store.listEndpoints) : undefined;
		if (entries) {
			options.install(entries);
		}

		await options.awaitClaim(endpointListIntervalMilliseconds);
	}
};

/**
Writes this daemon's row once, and reads those of the other daemons until this daemon leaves.
*/
export const watchMembers = async (options: {
	readonly store: StoreCalls;
	readonly tryStore: TryStore;
	readonly leaving: AbortSignal;
	readonly self: Omit<MemberRow, 'writtenAt'>;
	/** Called with the rows of all daemons that have started recently. */
	readonly onMembers: (members: readonly MemberRow[]) => void;
}): Promise<void> => {
	const {store, tryStore} = options;
	const startedAt = performance.now();
	let isWritten = false;
	while (!options.leaving.aborted) {
		isWritten ||= await tryStore('writeMember', async () => {
			await store.writeMember({...options.self, writtenAt: Date.now()});
			return true;
		}) ?? false;

		const members = await tryStore('listMembers', store.listMembers);
		if (members) {
			options.onMembers(members.filter(({writtenAt}) => Date.now() - writtenAt < staleMemberMilliseconds));
		}

		const isListingOften = performance.now() - startedAt < frequentListingMilliseconds || !members;
		await sleep(isListingOften ? memberListIntervalMilliseconds : slowMemberListIntervalMilliseconds);
	}
};
