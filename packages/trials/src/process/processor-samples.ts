import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import type {PlatformDaemon} from './platform-fleet.js';

/**
Time that a daemon spent in one second, in milliseconds.
*/
export type ProcessorUse = {
	/** Processor time of its main thread. */
	readonly usedMilliseconds: number;
	/** Time that its main thread could have run while other processes of the machine did. Much of it means that the machine was too busy for the figures to count. */
	readonly waitedMilliseconds: number;
};

/**
Use of the processor in one second, by instance.
*/
export type ProcessorSample = ReadonlyMap<string, ProcessorUse>;

const sampleMilliseconds = 1000;
const nanosecondsOfMillisecond = 1_000_000;

/** Reads the first two fields of schedstat, see the kernel's sched-stats.rst. */
const readThread = (processIdentifier: number): ProcessorUse => {
	const [used, waited] = readFileSync(`/proc/${processIdentifier}/schedstat`, 'utf8').split(' ').map(Number);
	return {usedMilliseconds: used! / nanosecondsOfMillisecond, waitedMilliseconds: waited! / nanosecondsOfMillisecond};
};

/**
Samples the processor time of daemons each second until it is aborted.

@example
```
const samples = await sampleProcessors(fleet.daemons, stopping.signal);
```
*/
export const sampleProcessors = async (daemons: readonly PlatformDaemon[], stopped: AbortSignal): Promise<readonly ProcessorSample[]> => {
	const last = new Map<string, ProcessorUse & {readonly processIdentifier: number | undefined}>();
	const samples: ProcessorSample[] = [];

	/** Time since the last sample; a new process counts from its start. */
	const readUse = ({instance, child}: PlatformDaemon): ProcessorUse => {
		const {pid} = child();
		const previous = last.get(instance);
		const before = previous?.processIdentifier === pid ? previous : undefined;
		try {
			const now = readThread(pid!);
			last.set(instance, {...now, processIdentifier: pid});
			return {
				usedMilliseconds: now.usedMilliseconds - (before?.usedMilliseconds ?? 0), waitedMilliseconds: now.waitedMilliseconds - (before?.waitedMilliseconds ?? 0),
			};
		} catch {
			// The process has ended.
			return {usedMilliseconds: 0, waitedMilliseconds: 0};
		}
	};

	const readAll = (): ProcessorSample => new Map(daemons.map(daemon => [daemon.instance, readUse(daemon)]));

	readAll();
	while (!stopped.aborted) {
		await sleep(sampleMilliseconds);
		samples.push(readAll());
	}

	return samples;
};
