import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';
import type {DaemonProcess} from './daemon-process.js';

const sampleCount = 3;

/**
What a daemon spent over a time.
*/
export type DaemonCost = {
	/** Share of one core. */
	readonly processorShare: number;
	readonly residentBytes: number;
	/** The least heap and buffers in use at any look, which garbage inflates least. */
	readonly liveBytes: number;
	/** Bytes written and read by system calls, over sockets above all, in a second. */
	readonly sentBytes: number;
	readonly receivedBytes: number;
	/** Encoded heartbeats in a second, without framing. */
	readonly heartbeatBytes: number;
};

/**
The counters of a daemon at one time.
*/
export type DaemonCounters = {
	readonly at: number;
	readonly processorSeconds: number;
	readonly residentBytes: number;
	readonly liveBytes: number;
	readonly writtenBytes: number;
	readonly readBytes: number;
	readonly heartbeatBytes: number;
	/** Bytes of this reading's own answer, which the next reading must not count. */
	readonly answerBytes: number;
};

/**
Reads one value of a daemon's metrics; 0 when there is none.
*/
export const readSample = (metrics: string, name: string): number =>
	Number(metrics.split('\n').find(line => line.startsWith(`${name} `))?.split(' ').at(-1) ?? 0);

/**
Reads the daemon's metrics and what the kernel counts of its reads and writes.
*/
export const readCounters = async (daemon: DaemonProcess): Promise<DaemonCounters> => {
	const io = await readFile(`/proc/${daemon.child.pid}/io`, 'utf8');
	const {text} = await call(daemon.operators, 'GET', '/metrics');
	const count = (name: string): number => Number(new RegExp(String.raw`^${name}: (?<count>\d+)$`, 'mv').exec(io)?.groups?.count ?? 0);
	return {
		at: performance.now(),
		processorSeconds: readSample(text, 'process_cpu_seconds_total'),
		residentBytes: readSample(text, 'process_resident_memory_bytes'),
		liveBytes: readSample(text, 'galenakeel_heap_used_bytes') + readSample(text, 'galenakeel_external_memory_bytes'),
		writtenBytes: count('wchar'),
		readBytes: count('rchar'),
		answerBytes: text.length,
		heartbeatBytes: readSample(text, 'galenakeel_peer_bytes_sent_total{call="Heartbeats"}'),
	};
};

const costBetween = (first: DaemonCounters, last: DaemonCounters, all: readonly DaemonCounters[]): DaemonCost => {
	const seconds = (last.at - first.at) / 1000;
	const answerBytes = all.slice(0, -1).reduce((total, counters) => total + counters.answerBytes, 0);
	return {
		processorShare: (last.processorSeconds - first.processorSeconds) / seconds,
		residentBytes: last.residentBytes,
		liveBytes: Math.min(...all.map(({liveBytes}) => liveBytes)),
		sentBytes: (last.writtenBytes - first.writtenBytes - answerBytes) / seconds,
		receivedBytes: (last.readBytes - first.readBytes) / seconds,
		heartbeatBytes: (last.heartbeatBytes - first.heartbeatBytes) / seconds,
	};
};

/**
Measures what a daemon spends, looking at its counters a few times.

@example
```
const {processorShare} = await measureCost(daemon, 5);
```
*/
export const measureCost = async (daemon: DaemonProcess, seconds: number): Promise<DaemonCost> => {
	const counters = [await readCounters(daemon)];
	for (let sample = 0; sample < sampleCount; sample++) {
		await sleep(seconds * 1000 / sampleCount);
		counters.push(await readCounters(daemon));
	}

	return costBetween(counters[0]!, counters.at(-1)!, counters);
};
