import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {MemberRow, StoreCalls} from '@galenakeel/model/connection/store-calls.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';

/**
Performs a call of the store; undefined, with a line in the log, when it fails.
*/
export type TryStore = <Value>(call: string, perform: () => Promise<Value>) => Promise<Value | undefined>;

const endpointListIntervalMilliseconds = 500;
const claimPollMilliseconds = 50;
const memberListIntervalMilliseconds = 2000;
const slowMemberListIntervalMilliseconds = 10_000;
/** Age of the process up to which the members are listed often. */
const frequentListingMilliseconds = 10_000;
/** Age of a member's row from which it is not dialled. */
const staleMemberMilliseconds = 3_600_000;

/**
Lists the endpoints while this daemon owns a cell, at once after it has claimed another one, until it leaves and owns none.
*/
export const watchEndpoints = async (options: {
	readonly store: StoreCalls;
	readonly tryStore: TryStore;
	readonly leaving: AbortSignal;
	readonly ownedCells: () => number;
	readonly install: (entries: readonly EndpointEntry[]) => void;
}): Promise<void> => {
	while (!options.leaving.aborted || options.ownedCells() > 0) {
		const owned = options.ownedCells();
		const entries = owned > 0 ? await options.tryStore('listEndpoints', options.store.listEndpoints) : undefined;
		if (entries) {
			options.install(entries);
		}

		const until = performance.now() + endpointListIntervalMilliseconds;
		while (performance.now() < until && options.ownedCells() <= owned) {
			await sleep(claimPollMilliseconds);
		}
	}
};

/**
Writes this daemon's row once and meets the daemons of the other rows, until it leaves.
*/
export const watchMembers = async (options: {
	readonly store: StoreCalls;
	readonly tryStore: TryStore;
	readonly leaving: AbortSignal;
	readonly self: Omit<MemberRow, 'writtenAt'>;
	readonly connect: (addresses: readonly string[]) => void;
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
		const recent = (members ?? []).filter(({writtenAt}) => Date.now() - writtenAt < staleMemberMilliseconds);
		options.connect(recent.map(({address}) => address));
		const isListingOften = performance.now() - startedAt < frequentListingMilliseconds || !members;
		await sleep(isListingOften ? memberListIntervalMilliseconds : slowMemberListIntervalMilliseconds);
	}
};
