/**
Decides which daemon orders the endpoints of each availability zone. A zone's endpoints form a cell.
*/

/**
A claim to order the endpoints of a cell.
*/
export type Claim = {
	/** Endpoints obey the highest that they have seen; an owner may raise its own. */
	readonly token: number;
	/** Token with which the claim began; another one tells that the owner has forgotten what it had. */
	readonly term: number;
};

/**
A daemon in touch, as the decision sees it.
*/
export type Claimant = {
	/** Address of the daemon's peer service; the same for all that see it. */
	readonly address: string;
	readonly zone: string;
	/** Unix milliseconds of its start; of like machines the oldest claims first. */
	readonly startedAt: number;
	/** What its machine can carry, in thousandths of a core; the largest claims first. */
	readonly processor: number;
	readonly isLeaving: boolean;
	/** Its claims by cell. */
	readonly claims: ReadonlyMap<string, Claim>;
};

/**
What a daemon is to do about a cell.
*/
export enum ClaimStep {
	/** Nothing changes. */
	Keep = 'keep',
	/** Claim the cell, with a token above all that were seen. */
	Claim = 'claim',
	/** Give the cell up: another daemon holds it. */
	Yield = 'yield',
}

/**
How a daemon went out of sight.
*/
export enum LossCause {
	/** Nothing listens at its address: its process has ended. */
	Ended = 'ended',
	/** It has been silent; it may be out of reach and still give orders. */
	Silent = 'silent',
}

/**
The loss of the last owner of a cell.
*/
export type OwnerLoss = {
	readonly cause: LossCause;
	readonly ageMilliseconds: number;
};

/**
What a daemon reaches of a zone.
*/
export type Reachability = {
	readonly isOfZone: boolean;
	readonly hasReachablePeers: boolean;
	readonly reachesEndpoints: boolean;
	/** Milliseconds since a probe of the endpoints last failed. */
	readonly sinceProbeFailureMilliseconds: number;
};

/** Time after which an owner that may only be out of reach of this daemon, but not of its endpoints, is replaced from afar. */
const remoteTakeoverMilliseconds = 2500;

/**
Tells whether a daemon may take a cell over whose owner is out of sight.

An owner that is cut off goes on with its endpoints, and an order of another one would end that. A cut may also look like a process that has ended. So a daemon of another zone, or one that sees nobody, takes over only where it reaches the endpoints, and after a while. When it has just come to reach them, a cut has ended, and the owner will be heard in a moment.

@param contact.regainedMilliseconds Time since a probe of the endpoints last failed.
*/
export const isTakeoverSafe = (loss: OwnerLoss | undefined, contact: Reachability): boolean => {
	const {isOfZone, hasReachablePeers: seesPeers, reachesEndpoints, sinceProbeFailureMilliseconds: regainedMilliseconds} = contact;
	if (isOfZone && (seesPeers || loss === undefined)) {
		return true;
	}

	const isConfirmedLost = loss?.cause === LossCause.Ended || (loss?.ageMilliseconds ?? Number.POSITIVE_INFINITY) > remoteTakeoverMilliseconds;
	return seesPeers && reachesEndpoints && isConfirmedLost && regainedMilliseconds > remoteTakeoverMilliseconds;
};

const byClaimPrecedence = (cell: string) => (first: Claimant, second: Claimant): number =>
	Number(first.isLeaving) - Number(second.isLeaving)
	|| Number(second.zone === cell) - Number(first.zone === cell)
	|| second.claims.get(cell)!.token - first.claims.get(cell)!.token
	|| (first.address < second.address ? -1 : 1);

/**
Finds the daemon that holds a cell: among the claims in sight one that stays, then one of the cell's own zone, then the highest token.
*/
export const findOwner = (cell: string, daemons: readonly Claimant[]): Claimant | undefined =>
	daemons.filter(({claims}) => claims.has(cell)).toSorted(byClaimPrecedence(cell))[0];

const byCapacity = (first: Claimant, second: Claimant): number =>
	second.processor - first.processor
	|| first.startedAt - second.startedAt
	|| (first.address < second.address ? -1 : 1);

/** Daemons of the zone come first; another zone's daemon serves only while the zone has none. */
const findPreferredOwner = (cell: string, daemons: readonly Claimant[]): Claimant | undefined => {
	const staying = daemons.filter(({isLeaving}) => !isLeaving);
	const local = staying.filter(({zone}) => zone === cell);
	const owned = ({claims}: Claimant): number => claims.size;
	return (local.length > 0 ? local : staying).toSorted((first, second) => owned(first) - owned(second) || byCapacity(first, second))[0];
};

/**
Decides what a daemon does about a cell, from what it sees at this moment.

A claim stands while its daemon is in touch, so that a daemon which starts or returns takes nothing over. It ends when the daemon leaves, when a higher token is in sight, or when a daemon of the zone is there to take over from one of another zone.

@param self The deciding daemon, also part of `daemons`.
@param daemons All daemons in touch.

@example
```
decideClaim('ie-south-a', self, [self, peer]); // => ClaimStep.Claim
```
*/
export const decideClaim = (cell: string, self: Claimant, daemons: readonly Claimant[]): ClaimStep => {
	const owner = findOwner(cell, daemons);
	const isOwner = owner?.address === self.address;
	if (self.claims.has(cell) && !isOwner) {
		return ClaimStep.Yield;
	}

	const next = findPreferredOwner(cell, daemons);
	const isOwnerRight = owner !== undefined && !owner.isLeaving && (owner.zone === cell || next?.zone !== cell);
	if (isOwnerRight) {
		return ClaimStep.Keep;
	}

	return next?.address === self.address ? ClaimStep.Claim : ClaimStep.Keep;
};
