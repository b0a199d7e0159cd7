import {setTimeout as sleep} from 'node:timers/promises';
import {GrownFault, type PlannedGrownFault} from '../version/grown-plan.js';
import type {PlatformDaemon} from './platform-fleet.js';

/**
What faults act on: the daemons of a zone.
*/
export type GrownFaultContext = {
	readonly daemons: readonly PlatformDaemon[];
	/** Instances that own the cells of the zone. */
	readonly owners: () => readonly string[];
	/** Stops the process of a daemon for some time. */
	readonly stall: (daemon: PlatformDaemon, milliseconds: number) => void;
	/** Kills the process of a daemon, and starts it again some time later. */
	readonly killAndRestart: (daemon: PlatformDaemon, milliseconds: number) => Promise<void>;
	readonly onFault: (fault: GrownFault, target: string) => void;
};

const pick = (daemons: readonly PlatformDaemon[], target: number): PlatformDaemon | undefined => daemons[target % Math.max(1, daemons.length)];

/**
Injects a fault, and resolves when it has ended.

@example
```
await injectGrownFault({fault: GrownFault.OwnerStalled, at: 0, forMilliseconds: 900, target: 0}, context);
```
*/
export const injectGrownFault = async ({fault, forMilliseconds, target}: PlannedGrownFault, context: GrownFaultContext): Promise<void> => {
	const {daemons, stall, killAndRestart, onFault} = context;
	const isOwner = ({instance}: PlatformDaemon): boolean => context.owners().includes(instance);
	const owner = pick(daemons.filter(daemon => isOwner(daemon)), target) ?? daemons[0]!;
	const holder = pick(daemons.filter(daemon => !isOwner(daemon)), target) ?? owner;
	switch (fault) {
		case GrownFault.OwnerStalled: {
			onFault(fault, owner.instance);
			stall(owner, forMilliseconds);
			await sleep(forMilliseconds);
			break;
		}

		case GrownFault.OwnerKilled: {
			onFault(fault, owner.instance);
			await killAndRestart(owner, forMilliseconds);
			break;
		}

		case GrownFault.HolderKilled: {
			onFault(fault, holder.instance);
			await killAndRestart(holder, forMilliseconds);
			break;
		}

		case GrownFault.AllKilled: {
			onFault(fault, 'all');
			await Promise.all(daemons.map(async daemon => killAndRestart(daemon, forMilliseconds)));
			break;
		}
	}
};
