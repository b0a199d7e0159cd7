import {randomBytes} from 'node:crypto';

const mintedPrefix = 'm~';
const identifierPattern = /^[\w.:\-]{1,200}$/v;
const keyPattern = /^k~[\w.\-]{1,100}~[\w.:\-]{1,200}$/v;
const mintedPattern = /^m~(?<instance>[\w.\-]{1,60})~(?<incarnation>[\da-z]{1,40})~[\da-f]{16}$/v;
const randomLength = 8;

/**
The incarnation that a minted identifier names.
*/
export type IdentifierHolder = {readonly instance: string; readonly incarnation: string};

/**
The two kinds of submission identifier.
*/
export enum IdentifierKind {
	/** Issued by an incarnation; no other may run its submission. */
	Minted = 'minted',
	/** Chosen by the caller; the claim in the platform's table names the holder. */
	Chosen = 'chosen',
}

/**
A parsed identifier.
*/
export type ParsedIdentifier
	= | {readonly kind: IdentifierKind.Minted; readonly holder: IdentifierHolder}
		| {readonly kind: IdentifierKind.Chosen};

/**
Mints an identifier whose submission only the given incarnation can run.

@example
```
mintIdentifier({instance: 'entry-a1', incarnation: 'm8x2'}); // => 'm~entry-a1~m8x2~0a1b2c3d4e5f6071'
```
*/
export const mintIdentifier = (holder: IdentifierHolder): string =>
	`${mintedPrefix}${holder.instance}~${holder.incarnation}~${randomBytes(randomLength).toString('hex')}`;

/**
Returns the identifier of a single request with an idempotency key. Keys are scoped to a service and distinct from the identifiers of jobs.

@example
```
identifierOfKey('paysheet', 'reading-77'); // => 'k~paysheet~reading-77'
```
*/
export const identifierOfKey = (service: string, key: string): string => `k~${service}~${key}`;

/**
Parses an identifier; `undefined` when it is malformed.
*/
export const parseIdentifier = (identifier: string): ParsedIdentifier | undefined => {
	const groups = mintedPattern.exec(identifier)?.groups;
	if (groups) {
		return {kind: IdentifierKind.Minted, holder: {instance: groups.instance!, incarnation: groups.incarnation!}};
	}

	return identifierPattern.test(identifier) || keyPattern.test(identifier) ? {kind: IdentifierKind.Chosen} : undefined;
};
