import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {PlatformOutcome, type Platform} from '@galenakeel/model/connection/platform-client.js';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import type {IdentifierHolder} from '../request/submission-identifier.js';
import {
	claimKeyOf, encodeClaim, parseClaim, type Claim,
} from './claim-row.js';

const maximumRowsPerTransaction = 100;
const readBackAttempts = 3;
const readBackPauseMilliseconds = 50;

/**
Outcome of an attempt to claim an identifier.
*/
export enum ClaimState {
	/** A row in the table names the incarnation that may run the submission: this one or another. */
	Held = 'held',
	/** The platform did not confirm the claim. */
	Unavailable = 'unavailable',
}

/**
Result of an attempt to claim an identifier.
*/
export type ClaimResult
	= | {readonly state: ClaimState.Held; readonly claim: Claim}
		| {readonly state: ClaimState.Unavailable};

type PendingClaim = {readonly identifier: string; readonly claim: Claim; readonly result: Deferred<ClaimResult>; deadlineAt: number};

/**
Claims identifiers chosen by callers in the platform's table; many claims share one transaction.
*/
export type ClaimWriter = {
	/**
	Claims an identifier; concurrent claims of the same identifier share one result.

	@param fingerprint Digest of the submission, stored in the row.
	@param deadlineAt Time on the monotonic clock, in milliseconds, after which a claim that has not been sent is abandoned.
	*/
	readonly claim: (identifier: string, fingerprint: string, deadlineAt: number) => Promise<ClaimResult>;
	/** Reads which incarnation holds an identifier; `undefined` if it is unclaimed. @throws A fault of kind `PlatformUnavailable`. */
	readonly findHolder: (identifier: string) => Promise<IdentifierHolder | undefined>;
	/** Commits pending claims in batches until the process ends. */
	readonly run: () => Promise<never>;
	/** Returns the number of transactions sent to the platform. */
	readonly transactions: () => number;
};

const keyOf = (pending: PendingClaim): string => claimKeyOf(pending.identifier);

/**
Creates a claim writer; claims are sent once `run` is called.

@param options.transactionsPerSecond Returns this instance's current share of the platform's write budget.
@param options.onNonce Called with the nonce of each claim before it is sent. The row that stores a nonce permits its incarnation to run the submission once.

@example
```
const claims = createClaimWriter({platform, holder, transactionsPerSecond: () => 300 / members.size, onNonce: register.issue});
void claims.run();
const result = await claims.claim('sheet-2041', fingerprint, performance.now() + 5000);
```
*/
export const createClaimWriter = (options: {platform: Platform; holder: IdentifierHolder; transactionsPerSecond: () => number; onNonce: (nonce: string) => void}): ClaimWriter => {
	const {platform} = options;
	const {instance, incarnation} = options.holder;
	const pending: PendingClaim[] = [];
	const inFlight = new Map<string, PendingClaim>();
	let wake = createDeferred<void>();
	let transactions = 0;

	const settle = (settled: PendingClaim, result: ClaimResult): void => {
		inFlight.delete(settled.identifier);
		settled.result.resolve(result);
	};

	/** Settles the claims whose rows are in the table and returns the others, or `undefined` if the table can't be read. */
	const readBack = async (claims: readonly PendingClaim[]): Promise<readonly PendingClaim[] | undefined> => {
		for (let attempt = 0; attempt < readBackAttempts; attempt++) {
			try {
				const found = await platform.readRows(claims.map(claim => keyOf(claim)));
				const rows = new Map(found.map(row => [row.key, row]));
				return claims.filter(claim => {
					const row = rows.get(keyOf(claim));
					if (row) {
						settle(claim, {state: ClaimState.Held, claim: parseClaim(row)});
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
		let unsettled = claims;
		for (let attempt = 0; attempt < readBackAttempts && unsettled.length > 0;) {
			transactions++;
			const {outcome} = await platform.transact(
				unsettled.map(claim => ({key: keyOf(claim), version: 0})),
				unsettled.map(claim => ({key: keyOf(claim), value: encodeClaim(claim.claim)})),
			);
			if (outcome === PlatformOutcome.Done) {
				for (const claim of unsettled) {
					settle(claim, {state: ClaimState.Held, claim: claim.claim});
				}

				return;
			}

			const remaining = await readBack(unsettled);
			if (!remaining) {
				break;
			}

			// No progress: the write may still take effect, or the read was stale.
			if (remaining.length === unsettled.length) {
				attempt++;
				await sleep(readBackPauseMilliseconds);
			}

			unsettled = remaining;
		}

		for (const claim of unsettled) {
			settle(claim, {state: ClaimState.Unavailable});
		}
	};

	/** Removes the next claims to send from the queue, and settles those past their deadline as unavailable. */
	const takeBatch = (): readonly PendingClaim[] => {
		const batch = pending.splice(0, maximumRowsPerTransaction);
		const now = performance.now();
		for (const expired of batch.filter(claim => claim.deadlineAt <= now)) {
			settle(expired, {state: ClaimState.Unavailable});
		}

		return batch.filter(claim => claim.deadlineAt > now);
	};

	return {
		async claim(identifier, fingerprint, deadlineAt) {
			const existing = inFlight.get(identifier);
			if (existing) {
				existing.deadlineAt = Math.max(existing.deadlineAt, deadlineAt);
				return existing.result.promise;
			}

			const nonce = randomUUID();
			options.onNonce(nonce);
			const added: PendingClaim = {
				identifier,
				claim: {
					instance, incarnation, nonce, fingerprint, claimedAt: Date.now(),
				},
				result: createDeferred<ClaimResult>(),
				deadlineAt,
			};
			inFlight.set(identifier, added);
			pending.push(added);
			wake.resolve();
			return added.result.promise;
		},
		async findHolder(identifier) {
			const [row] = await platform.readRows([claimKeyOf(identifier)]);
			return row && parseClaim(row);
		},
		async run() {
			for (;;) {
				if (pending.length === 0) {
					wake = createDeferred<void>();
					await wake.promise;
				}

				const startedAt = performance.now();
				await commit(takeBatch());
				const interval = 1000 / options.transactionsPerSecond();
				await sleep(Math.max(0, interval - (performance.now() - startedAt)));
			}
		},
		transactions: () => transactions,
	};
};
