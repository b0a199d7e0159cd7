import {performance} from 'node:perf_hooks';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {CellClaim} from '@galenakeel/model/connection/fleet-message.js';
import type {Cell} from '../cells/cell.js';
import {
	ClaimStep, decideClaim, isTakeoverSafe, LossCause, type Claim, type Claimant,
} from './cell-claims.js';

/**
The cells that this daemon claims.
*/
export type OwnedCells = {
	readonly get: (zone: string) => Cell | undefined;
	readonly all: () => readonly Cell[];
	readonly count: () => number;
	/** Takes a higher token for a cell than one with which another daemon has given orders. */
	readonly raiseTokenAbove: (zone: string, token: number) => void;
	readonly claims: () => readonly CellClaim[];
	readonly claimsByCell: () => ReadonlyMap<string, Claim>;
	/** Claims and gives up cells by what is in sight. Returns whether anything changed. */
	readonly reviewClaims: (self: () => Claimant, peers: readonly Claimant[], ageMilliseconds: number) => boolean;
	/** Notes that a daemon is out of sight, with the cells that it claimed. */
	readonly recordLoss: (claimant: Claimant, cause: LossCause) => void;
	/** Takes a higher token for a cell whose endpoints obey another daemon that isn't in sight, or gives the cell up where this daemon sees nobody. */
	readonly reclaimOrYield: (zone: string, seesPeers: boolean) => void;
	/** Takes the endpoints of all zones as the platform lists them. */
	readonly install: (entries: readonly EndpointEntry[]) => void;
	/** Takes the endpoints of a zone as the owner of its cell lists them, for the case that this daemon takes the cell over while the store is away. */
	readonly recordEndpoints: (zone: string, entries: readonly EndpointEntry[]) => void;
	/** Steady milliseconds of the first list of a zone; undefined before it. */
	readonly listedSince: (zone: string) => number | undefined;
	/** Returns the endpoints of a zone as they were last listed; undefined before the first list. */
	readonly endpointsOf: (zone: string) => readonly EndpointEntry[] | undefined;
	readonly close: () => void;
};

export type OwnedCellsOptions = {
	readonly zones: readonly string[];
	/** Tells whether an endpoint of a zone answers, without giving it an order. */
	readonly canReachEndpoints: (zone: string) => Promise<boolean>;
	readonly createCell: (zone: string, token: () => number) => Cell;
	readonly onClaimed: (zone: string, token: number) => void;
	readonly onYielded: (zone: string, token: number) => void;
};

/** Time for which the answer of an endpoint shows that its zone is in reach. */
const probeValidityMilliseconds = 500;
/** Age of a daemon from which it claims cells of other zones, whose own daemons may start later. */
const remoteClaimDelayMilliseconds = 2500;

/**
Creates a daemon without cells.

Tokens are Unix milliseconds, and higher than all that were seen, so they rise from owner to owner also where the store is out of reach.

@example
```
const changed = cells.review(describeSelf, view.all());
```
*/
export const createOwnedCells = (options: OwnedCellsOptions): OwnedCells => {
	const cells = new Map<string, {readonly cell: Cell; readonly term: number; token: number}>();
	/** Owners that went out of sight, by cell; until another claim is in sight. */
	const losses = new Map<string, {readonly cause: LossCause; readonly at: number}>();
	const probing = new Set<string>();
	/** Steady milliseconds at which an endpoint of a zone last answered a probe. */
	const probeSucceededAt = new Map<string, number>();
	/** Steady milliseconds at which a probe of a zone last failed. */
	const probeFailedAt = new Map<string, number>();
	let highestToken = 0;
	const listedSince = new Map<string, number>();
	/** The endpoints of each zone as they were last listed. */
	const listed = new Map<string, readonly EndpointEntry[]>();

	const nextToken = (): number => {
		highestToken = Math.max(Date.now(), highestToken + 1);
		return highestToken;
	};

	const note = (zone: string, entries: readonly EndpointEntry[]): void => {
		listed.set(zone, entries);
		listedSince.set(zone, listedSince.get(zone) ?? performance.now());
	};

	const claim = (zone: string): void => {
		const term = nextToken();
		const cell = options.createCell(zone, () => cells.get(zone)?.token ?? term);
		cells.set(zone, {cell, term, token: term});
		options.onClaimed(zone, term);
		const entries = listed.get(zone);
		if (entries) {
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

	/** Takes a token above all in sight and goes on with what the cell has. */
	const raiseToken = (zone: string): void => {
		const owned = cells.get(zone);
		if (owned) {
			owned.token = nextToken();
			options.onClaimed(zone, owned.token);
		}
	};

	const noteTokens = (claimants: readonly Claimant[]): void => {
		for (const {claims} of claimants) {
			for (const [zone, {token}] of claims) {
				highestToken = Math.max(highestToken, token);
				losses.delete(zone);
			}
		}
	};

	/** Whether a daemon from afar has a higher token for a cell that this one keeps. */
	const isOutbid = (zone: string, peers: readonly Claimant[]): boolean => {
		const own = cells.get(zone)?.token;
		return own !== undefined && peers.some(({claims}) => (claims.get(zone)?.token ?? 0) > own);
	};

	/** Asks the endpoints of a zone whether they are in reach; the answer counts for a short time. */
	const probe = async (zone: string): Promise<void> => {
		if (!probing.has(zone)) {
			probing.add(zone);
			const contacts = await options.canReachEndpoints(zone) ? probeSucceededAt : probeFailedAt;
			contacts.set(zone, performance.now());

			probing.delete(zone);
		}
	};

	const isSafe = (zone: string, self: Claimant, seesPeers: boolean): boolean => {
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
				hasReachablePeers: seesPeers,
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
			noteTokens(peers);
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
				} else if (isOutbid(zone, peers)) {
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
		reclaimOrYield(zone, seesPeers) {
			if (seesPeers) {
				raiseToken(zone);
			} else {
				yieldCell(zone);
				losses.set(zone, {cause: LossCause.Silent, at: performance.now()});
			}
		},
		install(newer) {
			for (const zone of options.zones) {
				const entries = newer.filter(entry => entry.zone === zone);
				note(zone, entries);
				cells.get(zone)?.cell.install(entries);
			}
		},
		recordEndpoints(zone, entries) {
			if (!cells.has(zone)) {
				note(zone, entries);
			}
		},
		listedSince: zone => listedSince.get(zone),
		endpointsOf: zone => listed.get(zone),
		close() {
			for (const zone of cells.keys()) {
				yieldCell(zone);
			}
		},
	};
};
