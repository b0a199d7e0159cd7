import {createHash} from 'node:crypto';
import {parseJson} from '@galenakeel/model/connection/json.js';
import type {TableRow} from '@galenakeel/model/connection/platform-client.js';
import type {IdentifierHolder} from '../request/submission-identifier.js';

/**
Number of buckets into which claims are spread, so that instances can share the sweep.
*/
export const claimBucketCount = 256;

/**
The claim of an identifier as the platform's table holds it.
*/
export type Claim = IdentifierHolder & {
	/** Tells apart the attempts of one incarnation. */
	readonly nonce: string;
	/** Digest of what was submitted. */
	readonly fingerprint: string;
	/** Time on the holder's wall clock, in milliseconds. */
	readonly claimedAt: number;
};

/**
Returns the prefix of the rows of a bucket.

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
