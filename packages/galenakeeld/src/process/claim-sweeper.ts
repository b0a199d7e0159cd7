import {setTimeout as sleep} from 'node:timers/promises';
import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {claimBucketCount, claimPrefixOf, parseClaim} from './claim-row.js';

const rowsPerPage = 100;

/**
What the sweep of claims needs from the process.
*/
export type ClaimSweepOptions = {
	readonly platform: Platform;
	/** Time after which a claim is deleted, in milliseconds. */
	readonly retentionMilliseconds: number;
	/** Pause after each page: the sweep costs at most one read and one write in this time. */
	readonly pauseMilliseconds: number;
	/** Tells whether this instance sweeps a bucket at present. */
	readonly isOwnBucket: (bucket: number) => boolean;
};

/**
Tells whether an instance sweeps a bucket: the buckets go round the listed instances in the order of their names.

Two instances that see different lists may both sweep a bucket, which only costs a refused transaction.

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
Deletes the lapsed claims of one page.

@returns The key after which the next page begins; `undefined` at the end of the bucket.
*/
const sweepPage = async (bucket: number, after: string, {platform, retentionMilliseconds}: ClaimSweepOptions): Promise<string | undefined> => {
	const rows = await platform.scanRows(claimPrefixOf(bucket), rowsPerPage, after);
	const expired = rows.filter(row => Date.now() - parseClaim(row).claimedAt >= retentionMilliseconds);
	if (expired.length > 0) {
		// The condition keeps a row that was claimed anew since it was read. What is not deleted now falls to the next round.
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
			// The platform is out of reach; the next round comes back to this bucket.
			after = undefined;
		}

		await sleep(options.pauseMilliseconds, undefined, {ref: false});
	}
};

/**
Deletes claims that are past their retention, bucket by bucket, until the signal aborts.

@example
```
void runClaimSweep({platform, retentionMilliseconds: 86_400_000, pauseMilliseconds: 500, isOurs}, signal);
```
*/
export const runClaimSweep = async (options: ClaimSweepOptions, signal: AbortSignal): Promise<void> => {
	for (let bucket = 0; !signal.aborted; bucket = (bucket + 1) % claimBucketCount) {
		if (options.isOwnBucket(bucket)) {
			await sweepBucket(bucket, options);
		} else if (bucket === 0) {
			// An instance without any bucket waits like the others.
			await sleep(options.pauseMilliseconds, undefined, {ref: false});
		}
	}
};
