import {performance} from 'node:perf_hooks';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {CellClaim} from '@galenakeel/model/connection/fleet-message.js';
import type {Cell} from '../cells/cell.js';
import {lapsedEntryMilliseconds} from '../cells/cell-endpoints.js';
import {zoneOfCell} from './cell-layout.js';
import {ClaimCause, type ClaimReason} from './claim-reason.js';
import {
	ClaimStep, decideClaims, findOwner, isTakeoverSafe, LossCause, type Claim, type Claimant,
} from './cell-claims.js';
import {createListedEndpoints, type ListedEndpoints} from './listed-endpoints.js';

/**
The cells that this daemon claims.
*/
export type OwnedCells = {
	readonly get: (cell: string) => Cell | undefined;
	/** Returns a cell if the present claim to it is of that term, since an earlier one knew other jobs. */
	readonly getInTerm: (cell: string, term: number) => Cell | undefined;
	readonly all: () => readonly Cell[];
	readonly count: () => number;
	/** Raises the token of a cell above one with which another daemon has given orders. */
	readonly raiseTokenAbove: (cell: string, token: number) => void;
	readonly claims: () => readonly CellClaim[];
	readonly claimsByCell: () => ReadonlyMap<string, Claim>;
	/** Changes whenever a cell is claimed or released, or a token is raised. */
	readonly revision: () => number;
	/** Claims and releases cells according to the reachable peers; claims nothing while `mayClaim` is false, and hands no cell over while `mayHandOver` is false. Returns whether anything changed. */
	readonly reviewClaims: (self: () => Claimant, peers: readonly Claimant[], options: {readonly ageMilliseconds: number; readonly mayClaim: boolean; readonly mayHandOver: boolean}) => boolean;
	/** Records the loss of a daemon, for each cell that it claimed. */
	readonly recordLoss: (claimant: Claimant, cause: LossCause, silentMilliseconds: number) => void;
	/** Raises the token of a cell whose endpoints have accepted the token of another, unreachable daemon; releases the cell if this daemon has no reachable peers. */
	readonly reclaimOrYield: (cell: string, hasReachablePeers: boolean) => void;
	/** Installs the platform's list of the endpoints of all zones. */
	readonly install: (entries: readonly EndpointEntry[]) => void;
	/** Records the endpoints of a cell as sent by its owner, in case this daemon takes it over while the store is unavailable. */
	readonly recordEndpoints: (cell: string, entries: readonly EndpointEntry[]) => void;
	/** Returns the latest list of the endpoints of a cell; undefined before the first one. */
	readonly endpointsOf: (cell: string) => readonly EndpointEntry[] | undefined;
	readonly close: () => void;
};

export type OwnedCellsOptions = {
	/** Names of the known cells of all zones. */
	readonly cells: () => readonly string[];
	/** The cell of an endpoint; undefined while it is unknown. */
	readonly cellOf: (entry: EndpointEntry) => string | undefined;
	/** Tells whether an endpoint of a cell answers a probe, which starts and stops nothing. */
	readonly canReachEndpoints: (cell: string) => Promise<boolean>;
	readonly createCell: (name: string, token: () => number) => Cell;
	readonly onClaimed: (cell: string, token: number, reason: ClaimReason) => void;
	/** Called before a cell that is released is closed. */
	readonly onYielded: (token: number, cell: Cell) => void;
};

type OwnerLossRecord = {
	/** Undefined if the owner is known only from what endpoints accept. */
	readonly address: string | undefined;
	readonly cause: LossCause;
	readonly silentMilliseconds: number;
	/** Monotonic milliseconds. */
	readonly at: number;
};

/** Time for which a successful probe counts as proof that the endpoints of a cell are reachable. */
const probeValidityMilliseconds = 500;
/** Time for which another daemon must be the better owner of a cell before it is handed over. */
const handoverDelayMilliseconds = 3000;
/** Minimum age of a daemon that claims cells of other zones, whose own daemons may start later. */
const remoteClaimDelayMilliseconds = 2500;

/**
Creates the set of owned cells, initially empty.

A token is the current time in Unix milliseconds, or one above the highest known token if that is larger. Tokens therefore increase from owner to owner even while the store is unreachable.

@example
```
const changed = cells.reviewClaims(describeSelf, view.all(), {ageMilliseconds: 9000, mayClaim: discovery.isOver(), mayHandOver: true});
```
*/
export const createOwnedCells = (options: OwnedCellsOptions): OwnedCells => {
	const cells = new Map<string, {readonly cell: Cell; readonly term: number; token: number}>();
	/** Losses of owners by cell; each is kept until another claim to the cell is known. */
	const losses = new Map<string, OwnerLossRecord>();
	const probing = new Set<string>();
	/** Time of the last successful probe of each cell, in monotonic milliseconds. */
	const probeSucceededAt = new Map<string, number>();
	/** Time of the last failed probe of each cell, in monotonic milliseconds. */
	const probeFailedAt = new Map<string, number>();
	/** Time since when another daemon would have much more processor for an owned cell, in monotonic milliseconds. */
	const misplacedSince = new Map<string, number>();
	let highestToken = 0;
	let revision = 0;
	/** The endpoints of each cell. */
	const listed = new Map<string, ListedEndpoints>();

	const nextToken = (): number => {
		highestToken = Math.max(Date.now(), highestToken + 1);
		return highestToken;
	};

	const recordList = (name: string, entries: readonly EndpointEntry[]): void => {
		const list = listed.get(name) ?? createListedEndpoints(lapsedEntryMilliseconds);
		listed.set(name, list);
		list.install(entries);
	};

	const claim = (name: string, reason: ClaimReason): void => {
		const term = nextToken();
		const cell = options.createCell(name, () => cells.get(name)?.token ?? term);
		cells.set(name, {cell, term, token: term});
		revision++;
		options.onClaimed(name, term, reason);
		const entries = listed.get(name)?.latest();
		if (entries) {
			// The earlier owner may have started tasks on endpoints whose entries have lapsed.
			cell.install([...entries, ...listed.get(name)!.lapsed()]);
			cell.install(entries);
		}
	};

	const yieldCell = (name: string): void => {
		const owned = cells.get(name);
		cells.delete(name);
		if (owned) {
			revision++;
			options.onYielded(owned.token, owned.cell);
			owned.cell.close();
		}
	};

	/** Raises the token above all known ones and keeps the state of the cell. */
	const raiseToken = (name: string, cause: ClaimCause): void => {
		const owned = cells.get(name);
		if (owned) {
			owned.token = nextToken();
			revision++;
			options.onClaimed(name, owned.token, {cause});
		}
	};

	const reasonToClaim = (name: string, peers: readonly Claimant[]): ClaimReason => {
		const owner = findOwner(name, peers);
		if (owner) {
			return {cause: ClaimCause.OwnerReplaced, formerOwner: {address: owner.address}};
		}

		const loss = losses.get(name);
		if (!loss) {
			return {cause: ClaimCause.NoOwner};
		}

		const {address, cause, silentMilliseconds, at} = loss;
		return {cause: ClaimCause.OwnerLost, formerOwner: {address, loss: {cause, silentMilliseconds, ageMilliseconds: Math.round(performance.now() - at)}}};
	};

	const recordTokens = (claimants: readonly Claimant[]): void => {
		for (const {claims} of claimants) {
			for (const [name, {token}] of claims) {
				highestToken = Math.max(highestToken, token);
				losses.delete(name);
			}
		}
	};

	/** Tells whether a peer has a higher token for a cell that this daemon owns and keeps, for instance one of another zone. */
	const hasLowerToken = (name: string, peers: readonly Claimant[]): boolean => {
		const own = cells.get(name)?.token;
		return own !== undefined && peers.some(({claims}) => (claims.get(name)?.token ?? 0) > own);
	};

	/** Probes the endpoints of a cell and records the time of the result, unless a probe of the cell is in progress. */
	const probe = async (name: string): Promise<void> => {
		if (!probing.has(name)) {
			probing.add(name);
			const probeTimes = await options.canReachEndpoints(name) ? probeSucceededAt : probeFailedAt;
			probeTimes.set(name, performance.now());

			probing.delete(name);
		}
	};

	const groupByCell = (entries: readonly EndpointEntry[]): ReadonlyMap<string, readonly EndpointEntry[]> => {
		const groups = new Map<string, EndpointEntry[]>();
		for (const entry of entries) {
			const name = options.cellOf(entry);
			if (name === undefined) {
				continue;
			}

			const group = groups.get(name);
			if (group) {
				group.push(entry);
			} else {
				groups.set(name, [entry]);
			}
		}

		return groups;
	};

	const isSafe = (name: string, self: Claimant, hasReachablePeers: boolean): boolean => {
		const now = performance.now();
		const loss = losses.get(name);
		const isOfZone = self.zone === zoneOfCell(name);
		if (!isOfZone) {
			void probe(name);
		}

		return isTakeoverSafe(
			loss && {cause: loss.cause, ageMilliseconds: now - loss.at},
			{
				isOfZone,
				hasReachablePeers,
				reachesEndpoints: now - (probeSucceededAt.get(name) ?? Number.NEGATIVE_INFINITY) < probeValidityMilliseconds,
				sinceProbeFailureMilliseconds: now - (probeFailedAt.get(name) ?? Number.NEGATIVE_INFINITY),
			},
		);
	};

	/** Tells whether an owned cell is to be handed over: the better daemon has been reachable long enough to know the others and to claim the cell at once. */
	const isHandoverDue = (name: string, step: ClaimStep): boolean => {
		if (step !== ClaimStep.Release) {
			misplacedSince.delete(name);
			return false;
		}

		const since = misplacedSince.get(name) ?? performance.now();
		misplacedSince.set(name, since);
		return performance.now() - since > handoverDelayMilliseconds;
	};

	return {
		get: name => cells.get(name)?.cell,
		getInTerm(name, term) {
			const owned = cells.get(name);
			return owned?.term === term ? owned.cell : undefined;
		},
		all: () => [...cells.values()].map(({cell}) => cell),
		count: () => cells.size,
		raiseTokenAbove(name, token) {
			highestToken = Math.max(highestToken, token);
			if ((cells.get(name)?.token ?? Number.POSITIVE_INFINITY) <= token) {
				raiseToken(name, ClaimCause.SubmittedToken);
			}
		},
		claims: () => [...cells].map(([name, {cell, token, term}]) => ({
			cell: name, token, term, load: cell.load(),
		})),
		revision: () => revision,
		claimsByCell: () => new Map([...cells].map(([name, {token, term}]) => [name, {token, term}])),
		reviewClaims(self, peers, {ageMilliseconds, mayClaim, mayHandOver}) {
			recordTokens(peers);
			let hasChanged = false;
			for (const [name, step] of decideClaims(options.cells(), self(), [self(), ...peers])) {
				const isOfZone = zoneOfCell(name) === self().zone;
				if (step === ClaimStep.Claim && mayClaim && (isOfZone || ageMilliseconds > remoteClaimDelayMilliseconds) && isSafe(name, self(), peers.length > 0)) {
					yieldCell(name);
					claim(name, reasonToClaim(name, peers));
					hasChanged = true;
				} else if (mayClaim && mayHandOver && isHandoverDue(name, step)) {
					yieldCell(name);
					// One after the other: the next decision counts the cell at its new owner.
					misplacedSince.clear();
					hasChanged = true;
				} else if (step === ClaimStep.Yield) {
					yieldCell(name);
					hasChanged = true;
				} else if (hasLowerToken(name, peers)) {
					raiseToken(name, ClaimCause.HigherToken);
					hasChanged = true;
				}
			}

			return hasChanged;
		},
		recordLoss({address, claims}, cause, silentMilliseconds) {
			for (const name of claims.keys()) {
				losses.set(name, {
					address, cause, silentMilliseconds, at: performance.now(),
				});
			}
		},
		reclaimOrYield(name, hasReachablePeers) {
			if (hasReachablePeers) {
				raiseToken(name, ClaimCause.Fenced);
			} else {
				yieldCell(name);
				losses.set(name, {
					address: undefined, cause: LossCause.Silent, silentMilliseconds: 0, at: performance.now(),
				});
			}
		},
		install(newer) {
			const entriesByCell = groupByCell(newer);
			for (const name of options.cells()) {
				const entries = entriesByCell.get(name) ?? [];
				recordList(name, entries);
				cells.get(name)?.cell.install(entries);
			}
		},
		recordEndpoints(name, entries) {
			if (!cells.has(name)) {
				recordList(name, entries);
			}
		},
		endpointsOf: name => listed.get(name)?.latest(),
		close() {
			for (const name of cells.keys()) {
				yieldCell(name);
			}
		},
	};
};
