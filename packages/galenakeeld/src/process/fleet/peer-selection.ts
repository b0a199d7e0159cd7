import {createHash} from 'node:crypto';

/**
A daemon, as far as it decides with whom it exchanges heartbeats.
*/
export type PeerCandidate = {
	readonly address: string;
	readonly zone: string;
	/** It owns at least one cell. */
	readonly isOwner: boolean;
};

/** Number of daemons of each other zone with which a daemon without cells exchanges heartbeats. */
const contactsPerZone = 2;

/** Rendezvous hash of two daemons; the same for both orders. */
const affinityOf = (first: string, second: string): number => {
	const text = first < second ? `${first} ${second}` : `${second} ${first}`;
	return createHash('sha1').update(text).digest().readUInt32BE(0);
};

/**
Tells whether two daemons always exchange heartbeats: those of one zone, and an owner of a cell with all others, since jobs of any zone may be redirected to its cell.
*/
export const arePeers = (first: PeerCandidate, second: PeerCandidate): boolean =>
	first.zone === second.zone || first.isOwner || second.isOwner;

/**
Selects the daemons to which a daemon opens streams of its own accord: its peers, and a few daemons of each other zone, through which it learns of owners there. A daemon that receives a heartbeat opens a stream in return.

@param self The selecting daemon.
@param candidates Daemons whose zones are known.

@example
```
selectPeers({address: '10.1.0.13:7720', zone: 'north', isOwner: false}, members); // => ['10.1.0.14:7720', '10.2.0.7:7720']
```
*/
export const selectPeers = (self: PeerCandidate, candidates: readonly PeerCandidate[]): readonly string[] => {
	const selected: string[] = [];
	const others = new Map<string, string[]>();
	for (const candidate of candidates) {
		const {address, zone} = candidate;
		if (address === self.address) {
			continue;
		}

		if (arePeers(self, candidate)) {
			selected.push(address);
		} else {
			others.set(zone, [...others.get(zone) ?? [], address]);
		}
	}

	for (const addresses of others.values()) {
		const affinities = new Map(addresses.map(address => [address, affinityOf(self.address, address)]));
		selected.push(...addresses.toSorted((first, second) => affinities.get(second)! - affinities.get(first)!).slice(0, contactsPerZone));
	}

	return selected;
};
