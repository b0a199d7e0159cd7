import {setTimeout as sleep} from 'node:timers/promises';
import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {claimBucketCount, claimPrefixOf, parseClaim} from './claim-row.js';

const rowsPerPage = 100;

/**
Options of the sweep of expired claims.
*/
export type ClaimSweepOptions = {
	readonly platform: Platform;
	/** Age at which a claim expires and may be deleted, in milliseconds. */
	readonly retentionMilliseconds: number;
	/** Pause after each page, in milliseconds: the sweep makes at most one read and one write per pause. */
	readonly pauseMilliseconds: number;
	/** Returns whether this instance currently sweeps the bucket. */
	readonly isOwnBucket: (bucket: number) => boolean;
};

/**
Returns whether an instance sweeps a bucket: buckets are assigned round-robin to the listed instances, sorted by name.

Two instances with different lists may both sweep a bucket; the only cost is a refused transaction.

@example
```
isBucketOwner(1, 'entry-2', ['entry-1', 'entry-3']); // => true
```
*/
export const isBucketOwner = (bucket: number, instance: string, others: readonly string[]): boolean => {
	const instances = [instance, ...others].toSorted();
	return instances[bucket % instances.length] === instance;
};

/**
Deletes the expired claims of one page.

@returns The key after which the next page begins, or `undefined` at the end of the bucket.
*/
const sweepPage = async (bucket: number, after: string, {platform, retentionMilliseconds}: ClaimSweepOptions): Promise<string | undefined> => {
	const rows = await platform.scanRows(claimPrefixOf(bucket), rowsPerPage, after);
	const expired = rows.filter(row => Date.now() - parseClaim(row).claimedAt >= retentionMilliseconds);
	if (expired.length > 0) {
		// The version condition protects a row that was claimed again after it was read. Rows that are not deleted now are left to the next round.
		await platform.transact(expired.map(({key, version}) => ({key, version})), expired.map(({key}) => ({key})));
	}

	return rows.length < rowsPerPage ? undefined : rows.at(-1)!.key;
};

const sweepBucket = async (bucket: number, options: ClaimSweepOptions): Promise<void> => {
	let after: string | undefined = '';
	while (after !== undefined && options.isOwnBucket(bucket)) {
		try {
			after = await sweepPage(bucket, after, options);
		} catch {
			// The platform is unreachable; the next round retries this bucket.
			after = undefined;
		}

		await sleep(options.pauseMilliseconds, undefined, {ref: false});
	}
};

/**
Deletes expired claims, bucket by bucket, until the signal is aborted.

@example
```
void runClaimSweep({platform, retentionMilliseconds: 86_400_000, pauseMilliseconds: 500, isOwnBucket}, signal);
```
*/
export const runClaimSweep = async (options: ClaimSweepOptions, signal: AbortSignal): Promise<void> => {
	for (let bucket = 0; !signal.aborted; bucket = (bucket + 1) % claimBucketCount) {
		if (options.isOwnBucket(bucket)) {
			await sweepBucket(bucket, options);
		} else if (bucket === 0) {
			// Without this pause, an instance that owns no bucket would loop without waiting.
			await sleep(options.pauseMilliseconds, undefined, {ref: false});
		}
	}
};
