import type {ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {machineAt} from '../version/grown-site.js';
import type {PlatformDaemon} from './platform-fleet.js';
import type {ProcessorQuotas} from './processor-quotas.js';

/**
Acts as the platform does towards the processes of daemons: holds each to the share of its machine, and starts those again that end by themselves.
*/
export type DaemonKeeper = {
	/** Processes that ended by themselves: their instance, and their exit code or signal. */
	readonly ownExits: readonly string[];
	/** Takes charge of a process that was started for a daemon, by its position in its zone. */
	readonly onProcess: (child: ChildProcess, position: number, instance: string) => void;
	/** Holds the processes to their shares from now on. */
	readonly beginLimits: (daemons: readonly PlatformDaemon[]) => void;
	/** Kills the process of a daemon, and starts it again some time later. */
	readonly killAndRestart: (daemon: PlatformDaemon, milliseconds: number) => Promise<void>;
	/** Starts no process again from now on. */
	readonly close: () => void;
};

export type DaemonKeeperOptions = {
	readonly quotas: ProcessorQuotas;
	/** Share of this machine's core that stands for a core of the site. */
	readonly coreShare: number;
	readonly onEvent: (text: string) => void;
};

/** Time from the end of a process until the platform starts it again. */
const restartMilliseconds = 600;

/**
Creates a keeper without processes.

@example
```
const keeper = createDaemonKeeper({quotas, coreShare: 1, onEvent: console.error});
```
*/
export const createDaemonKeeper = ({quotas, coreShare, onEvent}: DaemonKeeperOptions): DaemonKeeper => {
	const ownExits: string[] = [];
	const killed = new Set<ChildProcess>();
	const positions = new Map<string, number>();
	let daemons: readonly PlatformDaemon[] = [];
	let isLimiting = false;
	let isClosed = false;

	const limit = (child: ChildProcess, position: number): void => {
		const {cores, share} = machineAt(position);
		quotas.limit(child.pid!, cores * share * coreShare);
	};

	const restart = async (daemon: PlatformDaemon | undefined): Promise<void> => {
		try {
			await daemon?.restart();
		} catch (error) {
			onEvent(`${daemon!.instance} did not start: ${String(error)}`);
		}
	};

	const onExit = async (instance: string, end: string): Promise<void> => {
		ownExits.push(`${instance} ${end}`);
		onEvent(`${instance} ended by itself: ${end}`);
		await sleep(restartMilliseconds);
		if (!isClosed) {
			await restart(daemons.find(daemon => daemon.instance === instance));
		}
	};

	return {
		ownExits,
		onProcess(child, position, instance) {
			positions.set(instance, position);
			if (isLimiting) {
				limit(child, position);
			}

			child.once('exit', (code, signal) => {
				if (!killed.has(child) && !isClosed) {
					void onExit(instance, String(code ?? signal));
				}
			});
		},
		beginLimits(limited) {
			isLimiting = true;
			daemons = limited;
			for (const {child, instance} of limited) {
				limit(child(), positions.get(instance)!);
			}
		},
		async killAndRestart(daemon, milliseconds) {
			const child = daemon.child();
			killed.add(child);
			child.kill('SIGKILL');
			await sleep(milliseconds);
			await restart(daemon);
		},
		close() {
			isClosed = true;
		},
	};
};
