/** Weight of a new measurement in the moving average; with a sweep every 20 ms the average covers roughly the last second. */
const smoothing = 0.01;
/** Multiple of its quota above which a team counts as over it, so that random variation of its load does not decide. */
const quotaTolerance = 1.5;
/** Time after which the loads received from a peer expire. */
const peerLoadsRetentionMilliseconds = 10_000;
/** Offered load, in slots, below which a team is no longer tracked. */
const negligibleSlots = 0.001;
/** Maximum number of teams in one message. */
const maximumReportedTeams = 16;

/**
Load that the callers of one instance offer to a service on behalf of a team.
*/
export type TeamLoad = {
	readonly team: string;
	/** Number of slots of speed 1 that the offered work would keep busy. */
	readonly slots: number;
};

/**
Loads that the teams of one service offer, at this instance and as reported by its peers.
*/
export type TeamLoads = {
	/** Adds work that a team offers, whether admitted or refused, in milliseconds at speed 1. */
	readonly addOfferedWork: (team: string, workMilliseconds: number) => void;
	/** Replaces the loads received from a peer. */
	readonly receivePeerLoads: (peer: string, loads: readonly TeamLoad[], now: number) => void;
	/** Updates the averages and the set of teams over their quota; called at a fixed interval. */
	readonly sweep: (now: number) => void;
	/** Teams whose load on the whole fleet exceeds their quota. */
	readonly teamsOverQuota: () => ReadonlySet<string>;
	/** Fraction of the slots that a team's quota grants, from 0 to 1. */
	readonly quotaOf: (team: string) => number;
	/** The teams with the highest load relative to their share at this instance, for sending to a peer. */
	readonly largestLoads: () => readonly TeamLoad[];
};

type PeerLoads = {readonly slots: ReadonlyMap<string, number>; readonly expiresAt: number};

/**
Creates the loads of an instance that has received no tasks.

A team is compared with its quota by its load on the whole fleet: its callers may all be connected to one instance and exceed that instance's part of the quota while the team stays within its quota.

@param options.shares Quota shares declared by the document in force; a team that it does not name has a share of 1.
@param options.capacity Sum of the speeds of all slots of the service in the whole fleet.

@example
```
const loads = createTeamLoads({shares: () => ({payroll: {share: 1}, depot: {share: 1}}), capacity: () => 96});
loads.addOfferedWork('payroll', 120);
loads.sweep(performance.now());
loads.teamsOverQuota().has('payroll');
```
*/
export const createTeamLoads = (options: {
	readonly shares: () => Readonly<Record<string, {readonly share: number}>>;
	readonly capacity: () => number;
}): TeamLoads => {
	const offered = new Map<string, number>();
	const slots = new Map<string, number>();
	const peerLoads = new Map<string, PeerLoads>();
	let overQuota: ReadonlySet<string> = new Set();
	let totalShares = 1;
	let sweptAt: number | undefined;

	const shareOf = (team: string): number => options.shares()[team]?.share ?? 1;

	const sumShares = (): number => {
		const shares = options.shares();
		let total = 0;
		for (const {share} of Object.values(shares)) {
			total += share;
		}

		for (const team of slots.keys()) {
			total += shares[team] === undefined ? 1 : 0;
		}

		return total;
	};

	const measure = (elapsedMilliseconds: number): void => {
		for (const team of new Set([...slots.keys(), ...offered.keys()])) {
			const before = slots.get(team) ?? 0;
			const mean = before + (smoothing * (((offered.get(team) ?? 0) / elapsedMilliseconds) - before));
			if (mean < negligibleSlots) {
				slots.delete(team);
			} else {
				slots.set(team, mean);
			}
		}

		offered.clear();
	};

	const fleetLoadOf = (team: string): number => {
		let sum = slots.get(team) ?? 0;
		for (const peer of peerLoads.values()) {
			sum += peer.slots.get(team) ?? 0;
		}

		return sum;
	};

	const quotaOf = (team: string): number => shareOf(team) / Math.max(totalShares, shareOf(team));

	const findTeamsOverQuota = (): ReadonlySet<string> => {
		const capacity = options.capacity();
		return new Set([...slots.keys()].filter(team => fleetLoadOf(team) > quotaTolerance * quotaOf(team) * capacity));
	};

	return {
		addOfferedWork(team, workMilliseconds) {
			offered.set(team, (offered.get(team) ?? 0) + workMilliseconds);
		},
		receivePeerLoads(peer, loads, now) {
			peerLoads.set(peer, {slots: new Map(loads.map(load => [load.team, load.slots])), expiresAt: now + peerLoadsRetentionMilliseconds});
		},
		sweep(now) {
			if (sweptAt !== undefined && now > sweptAt) {
				measure(now - sweptAt);
			}

			sweptAt = now;
			for (const [peer, {expiresAt}] of peerLoads) {
				if (now >= expiresAt) {
					peerLoads.delete(peer);
				}
			}

			totalShares = sumShares();
			overQuota = slots.size > 1 ? findTeamsOverQuota() : new Set();
		},
		teamsOverQuota: () => overQuota,
		quotaOf,
		largestLoads: () => [...slots]
			.toSorted(([first, firstSlots], [second, secondSlots]) => (secondSlots / shareOf(second)) - (firstSlots / shareOf(first)))
			.slice(0, maximumReportedTeams)
			.map(([team, teamSlots]) => ({team, slots: teamSlots})),
	};
};
