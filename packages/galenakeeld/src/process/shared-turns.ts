import {setTimeout as sleep} from 'node:timers/promises';
import type {Membership} from './membership.js';

/** Wait beyond the beginning of a slot, so that a timer that fires early does not find the slot before. */
const slotMarginMilliseconds = 5;

/**
The turns of an instance to read what all instances share.
*/
export type SharedTurns = {
	/** Resolves when the next slot begins, whoever's turn it is. */
	readonly untilNextSlot: () => Promise<void>;
	/** Resolves when it is this instance's turn. */
	readonly untilOurTurn: () => Promise<void>;
};

/**
Tells whether a slot of time is this instance's, in the order of the instances' names.

@param maximumTurns Slots in a round at most.

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
Creates the turns of an instance. In each slot one of the instances that reach each other reads, and passes the news on, so that together they read once in a slot however many they are.

Slots follow the wall clock. Clocks that disagree move the turns of an instance; it still has one in every round.

@param options.longestRoundMilliseconds Time within which each instance has a turn, however many they are.

@example
```
const turns = createSharedTurns({self: 'entry-2', membership, slotMilliseconds: 500, longestRoundMilliseconds: 10_000});
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
