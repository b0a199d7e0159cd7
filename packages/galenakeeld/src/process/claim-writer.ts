import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {PlatformOutcome, type Platform, type TableRow} from '@galenakeel/model/connection/platform-client.js';
import {parseJson} from '@galenakeel/model/connection/json.js';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import type {IdentifierHolder} from '../request/submission-identifier.js';

const claimPrefix = 'claim/';
const rowsInTransaction = 100;
const readBackAttempts = 3;
const readBackPauseMilliseconds = 50;

/**
What became of a claim.
*/
export enum ClaimState {
	/** The row was written by this claim; this incarnation may run the submission. */
	Ours = 'ours',
	/** The row names a holder that claimed before. */
	Held = 'held',
	/** The platform did not confirm the claim. */
	Unavailable = 'unavailable',
}

/**
The result of a claim.
*/
export type ClaimResult
	= | {readonly state: ClaimState.Ours}
		| {readonly state: ClaimState.Held; readonly holder: IdentifierHolder}
		| {readonly state: ClaimState.Unavailable};

type ClaimRow = IdentifierHolder & {readonly nonce: string; readonly claimedAt: number};

type PendingClaim = {readonly identifier: string; readonly nonce: string; readonly result: Deferred<ClaimResult>; readonly claimedAt: number};

/**
Claims caller-chosen identifiers in the platform's table, many in one transaction.
*/
export type ClaimWriter = {
	/** Claims an identifier; concurrent claims of the same one share their result. */
	readonly claim: (identifier: string) => Promise<ClaimResult>;
	/** Reads who holds an identifier; `undefined` when nobody claimed it. @throws A fault of kind `PlatformUnavailable`. */
	readonly findHolder: (identifier: string) => Promise<IdentifierHolder | undefined>;
	/** Commits pending claims until the process ends. */
	readonly run: () => Promise<never>;
	/** Transactions sent to the platform. */
	readonly transactions: () => number;
};

const keyOf = (claim: PendingClaim): string => `${claimPrefix}${claim.identifier}`;

const resultOf = (row: TableRow, claim: PendingClaim): ClaimResult => {
	const {nonce, instance, incarnation} = parseJson<ClaimRow>(row.value);
	return nonce === claim.nonce ? {state: ClaimState.Ours} : {state: ClaimState.Held, holder: {instance, incarnation}};
};

/**
Creates a writer without pending claims.

@param options.transactionsPerSecond This instance's part of the platform's write budget at present.

@example
```
const claims = createClaimWriter({platform, holder, transactionsPerSecond: () => 300 / members.size});
void claims.run();
const result = await claims.claim('sheet-2041');
```
*/
export const createClaimWriter = (options: {platform: Platform; holder: IdentifierHolder; transactionsPerSecond: () => number}): ClaimWriter => {
	const {platform, holder} = options;
	const pending: PendingClaim[] = [];
	const inFlight = new Map<string, PendingClaim>();
	let wake = createDeferred<void>();
	let transactions = 0;

	const settle = (claim: PendingClaim, result: ClaimResult): void => {
		inFlight.delete(claim.identifier);
		claim.result.resolve(result);
	};

	/** Settles the claims whose rows are in the table; returns the others. `undefined` when the table can't be read. */
	const readBack = async (claims: readonly PendingClaim[]): Promise<readonly PendingClaim[] | undefined> => {
		for (let attempt = 0; attempt < readBackAttempts; attempt++) {
			try {
				const found = await platform.readRows(claims.map(claim => keyOf(claim)));
				const rows = new Map(found.map(row => [row.key, row]));
				return claims.filter(claim => {
					const row = rows.get(keyOf(claim));
					if (row) {
						settle(claim, resultOf(row, claim));
					}

					return !row;
				});
			} catch {
				await sleep(readBackPauseMilliseconds);
			}
		}

		return undefined;
	};

	const commit = async (claims: readonly PendingClaim[]): Promise<void> => {
		let open = claims;
		for (let attempt = 0; attempt < readBackAttempts && open.length > 0;) {
			transactions++;
			const {outcome} = await platform.transact(
				open.map(claim => ({key: keyOf(claim), version: 0})),
				open.map(claim => ({key: keyOf(claim), value: JSON.stringify({...holder, nonce: claim.nonce, claimedAt: claim.claimedAt} satisfies ClaimRow)})),
			);
			if (outcome === PlatformOutcome.Done) {
				for (const claim of open) {
					settle(claim, {state: ClaimState.Ours});
				}

				return;
			}

			const remaining = await readBack(open);
			if (!remaining) {
				break;
			}

			// A refusal settles at least one claim; an unknown result without a row may yet take effect, so it is tried again.
			attempt += outcome === PlatformOutcome.Unknown ? 1 : 0;
			open = remaining;
		}

		for (const claim of open) {
			settle(claim, {state: ClaimState.Unavailable});
		}
	};

	return {
		async claim(identifier) {
			const existing = inFlight.get(identifier);
			if (existing) {
				return existing.result.promise;
			}

			const claim: PendingClaim = {
				identifier, nonce: randomUUID(), result: createDeferred<ClaimResult>(), claimedAt: Date.now(),
			};
			inFlight.set(identifier, claim);
			pending.push(claim);
			wake.resolve();
			return claim.result.promise;
		},
		async findHolder(identifier) {
			const [row] = await platform.readRows([`${claimPrefix}${identifier}`]);
			return row && (parseJson<ClaimRow>(row.value));
		},
		async run() {
			for (;;) {
				if (pending.length === 0) {
					wake = createDeferred<void>();
					await wake.promise;
				}

				const startedAt = performance.now();
				await commit(pending.splice(0, rowsInTransaction));
				const interval = 1000 / options.transactionsPerSecond();
				await sleep(Math.max(0, interval - (performance.now() - startedAt)));
			}
		},
		transactions: () => transactions,
	};
};
