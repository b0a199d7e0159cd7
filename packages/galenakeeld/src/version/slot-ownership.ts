import createHasher from 'xxhash-wasm';

const {h32} = await createHasher();
const hashRange = 2 ** 32;

/**
An entry instance with the properties that slot ownership depends on.
*/
export type SlotOwner = {readonly instance: string; readonly zone: string; readonly weight: number};

/**
An endpoint with the properties that the ownership of its slots depends on.
*/
export type OwnedEndpoint = {readonly address: string; readonly zone: string; readonly slots: number};

/**
Score of weighted rendezvous hashing: `-weight / ln(u)` with `u` uniform in (0, 1) by the hash of the pair.

The owner with the highest score wins, so that a change of owners moves only the slots of those that joined or left, and each owner's share is proportional to its weight (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005).
*/
const scoreOf = (owner: SlotOwner, endpoint: string, slot: number): number => {
	const uniform = (h32(`${owner.instance}/${endpoint}/${slot}`) + 0.5) / hashRange;
	return -owner.weight / Math.log(uniform);
};

/**
Owners that share the slots of a set of endpoints, with the number of slots that each may still receive.
*/
type OwnerGroup = {readonly owners: readonly SlotOwner[]; readonly remaining: Map<string, number>};

const selectOwner = ({owners, remaining}: OwnerGroup, endpoint: string, slot: number): SlotOwner | undefined => {
	let best: SlotOwner | undefined;
	let bestScore = -Infinity;
	for (const owner of owners) {
		const score = remaining.get(owner.instance)! > 0 ? scoreOf(owner, endpoint, slot) : -Infinity;
		if (score > bestScore) {
			best = owner;
			bestScore = score;
		}
	}

	return best;
};

/** Creates a group that limits each owner to its share of the slots by weight, rounded up. */
const createGroup = (owners: readonly SlotOwner[], slots: number): OwnerGroup => {
	const weight = owners.reduce((sum, owner) => sum + owner.weight, 0);
	return {owners, remaining: new Map(owners.map(owner => [owner.instance, Math.ceil(slots * owner.weight / weight)]))};
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

The slots of an endpoint belong to the instances of its availability zone; while none of those is serving, to all. Each slot goes to the owner with the highest score among those below their share, as in consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018), so that shares differ by one slot at most.

@returns Slot counts by endpoint address; endpoints without a slot of the instance are absent.

@example
```
const owned = countOwnedSlots('entry-a1', servingMembers, version.endpoints);
```
*/
export const countOwnedSlots = (instance: string, owners: readonly SlotOwner[], endpoints: readonly OwnedEndpoint[]): ReadonlyMap<string, number> => {
	const ownersByZone = groupByZone(owners);
	const slotsByZone = new Map<string, number>();
	for (const {zone, slots} of endpoints) {
		slotsByZone.set(zone, (slotsByZone.get(zone) ?? 0) + slots);
	}

	const groups = new Map([...slotsByZone].map(([zone, slots]) => [zone, createGroup(ownersByZone.get(zone) ?? owners, slots)]));
	const counts = new Map<string, number>();
	for (const {address, zone, slots} of endpoints) {
		const group = groups.get(zone)!;
		for (let slot = 0; slot < slots; slot++) {
			const owner = selectOwner(group, address, slot)?.instance;
			if (owner === undefined) {
				continue;
			}

			group.remaining.set(owner, group.remaining.get(owner)! - 1);
			if (owner === instance) {
				counts.set(address, (counts.get(address) ?? 0) + 1);
			}
		}
	}

	return counts;
};
