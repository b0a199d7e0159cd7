import {setTimeout as sleep} from 'node:timers/promises';
import type {Membership} from './membership.js';

/** Wait past the start of a slot, so that a timer that fires early does not see the previous slot. */
const slotMarginMilliseconds = 5;

/**
Schedules the turns in which an instance reads data shared by all instances.
*/
export type SharedTurns = {
	/** Resolves when the next slot starts, whichever instance has its turn. */
	readonly untilNextSlot: () => Promise<void>;
	/** Resolves at the start of this instance's next turn. */
	readonly untilOurTurn: () => Promise<void>;
};

/**
Tells whether a time slot is this instance's turn. Turns rotate in the order of the instances' names.

@param maximumTurns Maximum number of slots in a round.

@example
```
isOurTurn('entry-2', ['entry-1', 'entry-2', 'entry-3'], 4, 20); // => true
```
*/
export const isOurTurn = (self: string, instances: readonly string[], slot: number, maximumTurns: number): boolean => {
	const turns = Math.min(instances.length, maximumTurns);
	const rank = instances.filter(instance => instance < self).length;
	return slot % turns === rank % turns;
};

/**
Creates the turns of an instance. In each slot, one of the instances that can reach each other reads and passes updates on to the others, so that they read about once per slot however many instances there are.

Slots follow the wall clock. Clock differences shift the turns of an instance, but it still has one in every round.

@param options.maximumRoundMilliseconds Time within which each instance has a turn, however many instances there are. Above `maximumRoundMilliseconds / slotMilliseconds` instances, several share a slot.

@example
```
const turns = createSharedTurns({self: 'entry-2', membership, slotMilliseconds: 500, maximumRoundMilliseconds: 10_000});
await turns.untilOurTurn();
```
*/
export const createSharedTurns = ({self, membership, slotMilliseconds, maximumRoundMilliseconds}: {
	readonly self: string;
	readonly membership: Pick<Membership, 'peers'>;
	readonly slotMilliseconds: number;
	readonly maximumRoundMilliseconds: number;
}): SharedTurns => {
	const maximumTurns = Math.max(1, Math.floor(maximumRoundMilliseconds / slotMilliseconds));

	const instances = (): readonly string[] => [self, ...membership.peers().filter(({isReachable}) => isReachable).map(({instance}) => instance)];

	const untilNextSlot = async (): Promise<void> => {
		await sleep(slotMilliseconds - (Date.now() % slotMilliseconds) + slotMarginMilliseconds);
	};

	return {
		untilNextSlot,
		async untilOurTurn() {
			do {
				await untilNextSlot();
			} while (!isOurTurn(self, instances(), Math.floor(Date.now() / slotMilliseconds), maximumTurns));
		},
	};
};
