/**
Decides which daemon owns each cell. A cell consists of the endpoints of an availability zone, or of a part of them.
*/
import {zoneOfCell} from './cell-layout.js';

/**
A daemon's claim to own a cell, which entitles it to schedule tasks on the endpoints.
*/
export type Claim = {
	/** Fencing token. Endpoints reject requests with a lower token than the highest that they have received; an owner may raise its own. */
	readonly token: number;
	/** Initial token of the claim. A different term means that the owner has lost its earlier state. */
	readonly term: number;
};

/**
A reachable daemon, with the properties that the decision uses.
*/
export type Claimant = {
	/** Address of the daemon's peer service, identical for all observers. */
	readonly address: string;
	readonly zone: string;
	/** Start time in Unix milliseconds. Among machines of equal size the oldest daemon has precedence. */
	readonly startedAt: number;
	/** Processor capacity of its machine in thousandths of a core. The machine with the most for each of its cells has precedence. */
	readonly processor: number;
	readonly isLeaving: boolean;
	/** Its claims by cell. */
	readonly claims: ReadonlyMap<string, Claim>;
};

/**
The action that a daemon takes for a cell.
*/
export enum ClaimStep {
	/** Nothing changes. */
	Keep = 'keep',
	/** Claim the cell, with a token above all known ones. */
	Claim = 'claim',
	/** Release the cell: another daemon owns it. */
	Yield = 'yield',
	/** Release the cell once this has been so for a while: another daemon of the zone has much more processor for it. */
	Release = 'release',
}

/**
Why a daemon is unreachable.
*/
export enum LossCause {
	/** Nothing listens at its address: the process has ended. */
	Ended = 'ended',
	/** No heartbeat arrived in time. It may be partitioned and still schedule tasks. */
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
Which parts of the system a daemon can reach, as seen for one zone.
*/
export type Reachability = {
	readonly isOfZone: boolean;
	readonly hasReachablePeers: boolean;
	readonly reachesEndpoints: boolean;
	/** Time since a probe of the endpoints last failed. */
	readonly sinceProbeFailureMilliseconds: number;
};

/** Delay before a daemon of another zone replaces an owner that may still reach its endpoints; also the time for which probes must succeed. */
const remoteTakeoverMilliseconds = 2500;

/**
Tells whether a daemon may take over a cell whose owner is unreachable.

A partitioned owner continues to schedule tasks on its endpoints, and a request of another daemon would fence it off. A partition can also be mistaken for the end of a process.

A daemon of the zone takes over if it reaches peers or no loss is recorded. Any other takeover requires reachable peers and endpoints, and an owner that has ended or has been lost for a while. If the endpoints have only just become reachable, a partition has healed and a heartbeat of the owner is about to arrive, so the daemon waits.

@param reachability.sinceProbeFailureMilliseconds Time since a probe of the endpoints last failed.
*/
export const isTakeoverSafe = (loss: OwnerLoss | undefined, reachability: Reachability): boolean => {
	const {isOfZone, hasReachablePeers, reachesEndpoints, sinceProbeFailureMilliseconds} = reachability;
	if (isOfZone && (hasReachablePeers || loss === undefined)) {
		return true;
	}

	const isConfirmedLost = loss?.cause === LossCause.Ended || (loss?.ageMilliseconds ?? Number.POSITIVE_INFINITY) > remoteTakeoverMilliseconds;
	return hasReachablePeers && reachesEndpoints && isConfirmedLost && sinceProbeFailureMilliseconds > remoteTakeoverMilliseconds;
};

/** Whether a claimant of a cell has precedence over another one. */
const hasPrecedence = (cell: string, first: Claimant, second: Claimant): boolean => {
	if (first.isLeaving !== second.isLeaving) {
		return second.isLeaving;
	}

	const isFirstLocal = first.zone === zoneOfCell(cell);
	if (isFirstLocal !== (second.zone === zoneOfCell(cell))) {
		return isFirstLocal;
	}

	const difference = first.claims.get(cell)!.token - second.claims.get(cell)!.token;
	return difference === 0 ? first.address < second.address : difference > 0;
};

/**
The owner of each cell that a daemon claims.
*/
export type Owners = ReadonlyMap<string, Claimant>;

/**
Finds the owner of each cell among the daemons that claim it. A daemon that isn't leaving has precedence, then one of the cell's own zone, then the highest token.

@example
```
findOwners([self, ...peers]).get('north/1')?.address; // => '10.1.0.13:7720'
```
*/
export const findOwners = (daemons: readonly Claimant[]): Owners => {
	const owners = new Map<string, Claimant>();
	for (const daemon of daemons) {
		for (const cell of daemon.claims.keys()) {
			const owner = owners.get(cell);
			if (!owner || hasPrecedence(cell, daemon, owner)) {
				owners.set(cell, daemon);
			}
		}
	}

	return owners;
};

/**
Finds the owner of one cell; undefined if no daemon claims it.
*/
export const findOwner = (cell: string, daemons: readonly Claimant[]): Claimant | undefined => findOwners(daemons).get(cell);

/** Cells that daemons are about to claim, as a number by address. */
export type PlannedClaims = ReadonlyMap<string, number>;

/** Processor of a daemon for each of its cells if it owned one more. */
const processorPerCell = ({address, processor, claims}: Claimant, planned: PlannedClaims): number =>
	processor / (claims.size + (planned.get(address) ?? 0) + 1);

const byCapacity = (planned: PlannedClaims) => (first: Claimant, second: Claimant): number =>
	processorPerCell(second, planned) - processorPerCell(first, planned)
	|| first.startedAt - second.startedAt
	|| (first.address < second.address ? -1 : 1);

/**
Finds the daemon that should own a cell: the one with the most processor for each of its cells. Daemons of the zone have precedence; a daemon of another zone is chosen only while the zone has none.

@param planned Claims that other cells are about to get.
*/
export const findPreferredOwner = (cell: string, daemons: readonly Claimant[], planned: PlannedClaims): Claimant | undefined => {
	const staying = daemons.filter(({isLeaving}) => !isLeaving);
	const local = staying.filter(({zone}) => zone === zoneOfCell(cell));
	return (local.length > 0 ? local : staying).toSorted(byCapacity(planned))[0];
};

/** Factor of processor for each cell from which a cell is handed over, although this interrupts its work for a moment. */
const handoverFactor = 2;

const isMuchBetter = (next: Claimant, owner: Claimant): boolean =>
	next.address !== owner.address && next.processor / (next.claims.size + 1) >= handoverFactor * owner.processor / owner.claims.size;

/**
Decides which action a daemon takes for a cell, given the daemons that are reachable now.

A claim remains valid while its daemon is reachable, so a daemon that starts or returns does not displace an owner. An owner hands a cell over to a daemon that has twice as much processor for it. The claim ends when the daemon leaves, when a claim with precedence appears, or when a daemon of the zone can take over from one of another zone.

@param self The deciding daemon, also part of `daemons`.
@param daemons All reachable daemons.

@example
```
decideClaim('ie-south-a', self, [self, peer]); // => ClaimStep.Claim
```
*/
export const decideClaim = (cell: string, self: Claimant, daemons: readonly Claimant[]): ClaimStep =>
	decideClaims([cell], self, daemons).get(cell)!;

/**
Decides which action a daemon takes for each cell. Cells without an owner are distributed one after the other, so that all daemons that see the same peers come to the same result at once.
*/
export const decideClaims = (cells: readonly string[], self: Claimant, daemons: readonly Claimant[]): ReadonlyMap<string, ClaimStep> => {
	const planned = new Map<string, number>();
	const owners = findOwners(daemons);

	const decide = (cell: string): ClaimStep => {
		const zone = zoneOfCell(cell);
		const owner = owners.get(cell);
		const isOwner = owner?.address === self.address;
		if (self.claims.has(cell) && !isOwner) {
			return ClaimStep.Yield;
		}

		if (owner?.zone === zone && !owner.isLeaving) {
			const better = isOwner ? findPreferredOwner(cell, daemons, planned) : undefined;
			return better !== undefined && isMuchBetter(better, owner) ? ClaimStep.Release : ClaimStep.Keep;
		}

		const next = findPreferredOwner(cell, daemons, planned);
		if (next === undefined || (owner !== undefined && !owner.isLeaving && next.zone !== zone)) {
			return ClaimStep.Keep;
		}

		planned.set(next.address, (planned.get(next.address) ?? 0) + 1);
		return next.address === self.address ? ClaimStep.Claim : ClaimStep.Keep;
	};

	return new Map(cells.map(cell => [cell, decide(cell)]));
};
