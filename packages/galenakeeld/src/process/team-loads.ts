/** Part of a new measurement in the mean; with a sweep every 20 ms the mean follows the last second or so. */
const smoothing = 0.01;
/** Times its quota that a team may offer before it counts as over it, so that chance does not decide. */
const quotaTolerance = 1.5;
/** Time for which what a peer said of its teams is believed, in milliseconds. */
const peerLoadsRetentionMilliseconds = 10_000;
/** Slots offered below which a team is forgotten. */
const negligibleSlots = 0.001;
/** Teams that one message names at most. */
const maximumReportedTeams = 16;

/**
What callers of one instance ask of a service on behalf of a team.
*/
export type TeamLoad = {
	readonly team: string;
	/** Slots of speed 1 that the offered work would keep busy. */
	readonly slots: number;
};

/**
What the teams of one service ask for, at this instance and as far as known at its peers.
*/
export type TeamLoads = {
	/** Adds work that a team offers, admitted or not, in milliseconds at speed 1. */
	readonly addOfferedWork: (team: string, workMilliseconds: number) => void;
	/** Takes what a peer says of its teams. */
	readonly receivePeerLoads: (peer: string, loads: readonly TeamLoad[], now: number) => void;
	/** Measures anew; called at a fixed interval. */
	readonly sweep: (now: number) => void;
	/** Teams that offer more than their quota of the fleet. */
	readonly teamsOverQuota: () => ReadonlySet<string>;
	/** Part of the slots that a team's quota grants, from 0 to 1. */
	readonly quotaOf: (team: string) => number;
	/** The teams that offer most for their share at this instance, to be told to a peer. */
	readonly largestLoads: () => readonly TeamLoad[];
};

type PeerLoads = {readonly slots: ReadonlyMap<string, number>; readonly expiresAt: number};

/**
Creates the loads of an instance without tasks.

A team is over its quota by what it offers to the whole fleet: the callers of a team may all be connected to one instance, whose own part of the quota they exceed while the team stays within it.

@param options.shares Quota shares that the document in force declares; a team that it does not name has a share of 1.
@param options.capacity Slots of the service in the whole fleet, times their speeds.

@example
```
const loads = createTeamLoads({shares: () => ({payroll: {share: 1}, depot: {share: 1}}), capacity: () => 96});
loads.offer('payroll', 120);
loads.sweep(performance.now());
loads.over().has('payroll');
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
