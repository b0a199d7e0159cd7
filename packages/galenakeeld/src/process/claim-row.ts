import {createHash} from 'node:crypto';
import {parseJson} from '@galenakeel/model/connection/json.js';
import type {TableRow} from '@galenakeel/model/connection/platform-client.js';
import type {IdentifierHolder} from '../request/submission-identifier.js';

/**
Number of buckets over which claims are distributed, so that instances can divide the sweep among themselves.
*/
export const claimBucketCount = 256;

/**
The claim of an identifier as stored in the platform's table.
*/
export type Claim = IdentifierHolder & {
	/** Distinguishes the claim attempts of one incarnation. */
	readonly nonce: string;
	/** Digest of the submission. */
	readonly fingerprint: string;
	/** Time of the claim on the holder's wall clock, in milliseconds since the epoch. */
	readonly claimedAt: number;
};

/**
Returns the key prefix of the rows of a bucket.

@example
```
claimPrefixOf(10); // => 'claim/0a/'
```
*/
export const claimPrefixOf = (bucket: number): string => `claim/${bucket.toString(16).padStart(2, '0')}/`;

/**
Returns the key of the row that claims an identifier.
*/
export const claimKeyOf = (identifier: string): string =>
	`${claimPrefixOf(createHash('sha256').update(identifier).digest()[0]!)}${identifier}`;

/**
Encodes a claim as the value of its row.
*/
export const encodeClaim = (claim: Claim): string => JSON.stringify(claim);

/**
Decodes the row of a claim.
*/
export const parseClaim = (row: TableRow): Claim => parseJson<Claim>(row.value);
