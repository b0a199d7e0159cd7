import {performance} from 'node:perf_hooks';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {CellClaim} from '@galenakeel/model/connection/fleet-message.js';
import type {Cell} from '../cells/cell.js';
import {lapsedEntryMilliseconds} from '../cells/cell-endpoints.js';
import {
	ClaimStep, decideClaim, isTakeoverSafe, LossCause, type Claim, type Claimant,
} from './cell-claims.js';
import {createListedEndpoints} from './listed-endpoints.js';

/**
The cells that this daemon claims.
*/
export type OwnedCells = {
	readonly get: (zone: string) => Cell | undefined;
	readonly all: () => readonly Cell[];
	readonly count: () => number;
	/** Raises the token of a cell above one with which another daemon has given orders. */
	readonly raiseTokenAbove: (zone: string, token: number) => void;
	readonly claims: () => readonly CellClaim[];
	readonly claimsByCell: () => ReadonlyMap<string, Claim>;
	/** Claims and releases cells according to the reachable peers. Returns whether anything changed. */
	readonly reviewClaims: (self: () => Claimant, peers: readonly Claimant[], ageMilliseconds: number) => boolean;
	/** Records the loss of a daemon, for each cell that it claimed. */
	readonly recordLoss: (claimant: Claimant, cause: LossCause) => void;
	/** Raises the token of a cell whose endpoints have accepted the token of another, unreachable daemon; releases the cell if this daemon has no reachable peers. */
	readonly reclaimOrYield: (zone: string, hasReachablePeers: boolean) => void;
	/** Installs the platform's list of the endpoints of all zones. */
	readonly install: (entries: readonly EndpointEntry[]) => void;
	/** Records the endpoints of a zone as sent by the owner of its cell, in case this daemon takes over the cell while the store is unavailable. */
	readonly recordEndpoints: (zone: string, entries: readonly EndpointEntry[]) => void;
	/** Time of the first list of a zone, in monotonic milliseconds; undefined before it. */
	readonly listedSince: (zone: string) => number | undefined;
	/** Returns the latest list of the endpoints of a zone; undefined before the first one. */
	readonly endpointsOf: (zone: string) => readonly EndpointEntry[] | undefined;
	readonly close: () => void;
};

export type OwnedCellsOptions = {
	readonly zones: readonly string[];
	/** Tells whether an endpoint of a zone answers a probe, which starts and stops nothing. */
	readonly canReachEndpoints: (zone: string) => Promise<boolean>;
	readonly createCell: (zone: string, token: () => number) => Cell;
	readonly onClaimed: (zone: string, token: number) => void;
	readonly onYielded: (zone: string, token: number) => void;
};

/** Time for which a successful probe counts as proof that the endpoints of a zone are reachable. */
const probeValidityMilliseconds = 500;
/** Minimum age of a daemon that claims cells of other zones, whose own daemons may start later. */
const remoteClaimDelayMilliseconds = 2500;

/**
Creates the set of owned cells, initially empty.

A token is the current time in Unix milliseconds, or one above the highest known token if that is larger. Tokens therefore increase from owner to owner even while the store is unreachable.

@example
```
const changed = cells.reviewClaims(describeSelf, view.all());
```
*/
export const createOwnedCells = (options: OwnedCellsOptions): OwnedCells => {
	const cells = new Map<string, {readonly cell: Cell; readonly term: number; token: number}>();
	/** Losses of owners by cell; each is kept until another claim to the cell is known. */
	const losses = new Map<string, {readonly cause: LossCause; readonly at: number}>();
	const probing = new Set<string>();
	/** Time of the last successful probe of each zone, in monotonic milliseconds. */
	const probeSucceededAt = new Map<string, number>();
	/** Time of the last failed probe of each zone, in monotonic milliseconds. */
	const probeFailedAt = new Map<string, number>();
	let highestToken = 0;
	/** The endpoints of each zone. */
	const listed = new Map(options.zones.map(zone => [zone, createListedEndpoints(lapsedEntryMilliseconds)]));

	const nextToken = (): number => {
		highestToken = Math.max(Date.now(), highestToken + 1);
		return highestToken;
	};

	const claim = (zone: string): void => {
		const term = nextToken();
		const cell = options.createCell(zone, () => cells.get(zone)?.token ?? term);
		cells.set(zone, {cell, term, token: term});
		options.onClaimed(zone, term);
		const entries = listed.get(zone)?.latest();
		if (entries) {
			// The earlier owner may have started tasks on endpoints whose entries have lapsed.
			cell.install([...entries, ...listed.get(zone)!.lapsed()]);
			cell.install(entries);
		}
	};

	const yieldCell = (zone: string): void => {
		const owned = cells.get(zone);
		cells.delete(zone);
		if (owned) {
			options.onYielded(zone, owned.token);
			owned.cell.close();
		}
	};

	/** Raises the token above all known ones and keeps the state of the cell. */
	const raiseToken = (zone: string): void => {
		const owned = cells.get(zone);
		if (owned) {
			owned.token = nextToken();
			options.onClaimed(zone, owned.token);
		}
	};

	const recordTokens = (claimants: readonly Claimant[]): void => {
		for (const {claims} of claimants) {
			for (const [zone, {token}] of claims) {
				highestToken = Math.max(highestToken, token);
				losses.delete(zone);
			}
		}
	};

	/** Tells whether a peer has a higher token for a cell that this daemon owns and keeps, for instance one of another zone. */
	const hasLowerToken = (zone: string, peers: readonly Claimant[]): boolean => {
		const own = cells.get(zone)?.token;
		return own !== undefined && peers.some(({claims}) => (claims.get(zone)?.token ?? 0) > own);
	};

	/** Probes the endpoints of a zone and records the time of the result, unless a probe of the zone is in progress. */
	const probe = async (zone: string): Promise<void> => {
		if (!probing.has(zone)) {
			probing.add(zone);
			const probeTimes = await options.canReachEndpoints(zone) ? probeSucceededAt : probeFailedAt;
			probeTimes.set(zone, performance.now());

			probing.delete(zone);
		}
	};

	const isSafe = (zone: string, self: Claimant, hasReachablePeers: boolean): boolean => {
		const now = performance.now();
		const loss = losses.get(zone);
		const isOfZone = self.zone === zone;
		if (!isOfZone) {
			void probe(zone);
		}

		return isTakeoverSafe(
			loss && {cause: loss.cause, ageMilliseconds: now - loss.at},
			{
				isOfZone,
				hasReachablePeers,
				reachesEndpoints: now - (probeSucceededAt.get(zone) ?? Number.NEGATIVE_INFINITY) < probeValidityMilliseconds,
				sinceProbeFailureMilliseconds: now - (probeFailedAt.get(zone) ?? Number.NEGATIVE_INFINITY),
			},
		);
	};

	return {
		get: zone => cells.get(zone)?.cell,
		all: () => [...cells.values()].map(({cell}) => cell),
		count: () => cells.size,
		raiseTokenAbove(zone, token) {
			highestToken = Math.max(highestToken, token);
			if ((cells.get(zone)?.token ?? Number.POSITIVE_INFINITY) <= token) {
				raiseToken(zone);
			}
		},
		claims: () => [...cells].map(([zone, {cell, token, term}]) => ({
			cell: zone, token, term, load: cell.load(),
		})),
		claimsByCell: () => new Map([...cells].map(([zone, {token, term}]) => [zone, {token, term}])),
		reviewClaims(self, peers, ageMilliseconds) {
			recordTokens(peers);
			let hasChanged = false;
			for (const zone of options.zones) {
				const step = decideClaim(zone, self(), [self(), ...peers]);
				if (step === ClaimStep.Claim && (zone === self().zone || ageMilliseconds > remoteClaimDelayMilliseconds) && isSafe(zone, self(), peers.length > 0)) {
					yieldCell(zone);
					claim(zone);
					hasChanged = true;
				} else if (step === ClaimStep.Yield) {
					yieldCell(zone);
					hasChanged = true;
				} else if (hasLowerToken(zone, peers)) {
					raiseToken(zone);
					hasChanged = true;
				}
			}

			return hasChanged;
		},
		recordLoss({claims}, cause) {
			for (const zone of claims.keys()) {
				losses.set(zone, {cause, at: performance.now()});
			}
		},
		reclaimOrYield(zone, hasReachablePeers) {
			if (hasReachablePeers) {
				raiseToken(zone);
			} else {
				yieldCell(zone);
				losses.set(zone, {cause: LossCause.Silent, at: performance.now()});
			}
		},
		install(newer) {
			for (const zone of options.zones) {
				const entries = newer.filter(entry => entry.zone === zone);
				listed.get(zone)?.install(entries);
				cells.get(zone)?.cell.install(entries);
			}
		},
		recordEndpoints(zone, entries) {
			if (!cells.has(zone)) {
				listed.get(zone)?.install(entries);
			}
		},
		listedSince: zone => listed.get(zone)?.since(),
		endpointsOf: zone => listed.get(zone)?.latest(),
		close() {
			for (const zone of cells.keys()) {
				yieldCell(zone);
			}
		},
	};
};
