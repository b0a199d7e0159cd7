import createHasher from 'xxhash-wasm';

const {h32} = await createHasher();
const hashRange = 2 ** 32;

/**
An entry instance as far as the ownership of slots is concerned.
*/
export type SlotOwner = {readonly instance: string; readonly zone: string; readonly weight: number};

/**
An endpoint as far as the ownership of its slots is concerned.
*/
export type OwnedEndpoint = {readonly address: string; readonly zone: string; readonly slots: number};

/**
Score of weighted rendezvous hashing: `-weight / ln(u)` with `u` uniform in (0, 1) by the hash of the pair.

The owner with the highest score wins, so that a change of owners moves only the slots of those that came or went, and each owner's share is proportional to its weight (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005).
*/
const scoreOf = (owner: SlotOwner, endpoint: string, slot: number): number => {
	const uniform = (h32(`${owner.instance}/${endpoint}/${slot}`) + 0.5) / hashRange;
	return -owner.weight / Math.log(uniform);
};

const ownerOf = (owners: readonly SlotOwner[], endpoint: string, slot: number): SlotOwner | undefined => {
	let best: SlotOwner | undefined;
	let bestScore = -Infinity;
	for (const owner of owners) {
		const score = scoreOf(owner, endpoint, slot);
		if (score > bestScore) {
			best = owner;
			bestScore = score;
		}
	}

	return best;
};

const groupByZone = (owners: readonly SlotOwner[]): ReadonlyMap<string, readonly SlotOwner[]> => {
	const groups = new Map<string, SlotOwner[]>();
	for (const owner of owners) {
		const group = groups.get(owner.zone);
		if (group) {
			group.push(owner);
		} else {
			groups.set(owner.zone, [owner]);
		}
	}

	return groups;
};

/**
Counts the slots of each endpoint that belong to one instance.

The slots of an endpoint belong to the instances of its availability zone; while none of those is serving, to all.

@returns Slot counts by endpoint address; endpoints without a slot of the instance are absent.

@example
```
const owned = countOwnedSlots('entry-a1', servingMembers, version.endpoints);
```
*/
export const countOwnedSlots = (instance: string, owners: readonly SlotOwner[], endpoints: readonly OwnedEndpoint[]): ReadonlyMap<string, number> => {
	const ownersByZone = groupByZone(owners);
	const counts = new Map<string, number>();
	for (const endpoint of endpoints) {
		const candidates = ownersByZone.get(endpoint.zone) ?? owners;
		for (let slot = 0; slot < endpoint.slots; slot++) {
			if (ownerOf(candidates, endpoint.address, slot)?.instance === instance) {
				counts.set(endpoint.address, (counts.get(endpoint.address) ?? 0) + 1);
			}
		}
	}

	return counts;
};
