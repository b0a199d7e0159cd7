import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';
import type {DaemonProcess} from './daemon-process.js';

const sampleCount = 3;

/**
Resources that a daemon used over a period.
*/
export type DaemonCost = {
	/** Processor time as a share of one core. */
	readonly processorShare: number;
	readonly residentBytes: number;
	/** Heap and external memory in use, in bytes: the minimum of all samples, since uncollected garbage inflates it least. */
	readonly liveBytes: number;
	/** Bytes per second written and read by system calls, mostly on sockets. */
	readonly sentBytes: number;
	readonly receivedBytes: number;
	/** Bytes per second of encoded heartbeats, without framing. */
	readonly heartbeatBytes: number;
};

/**
Counters of a daemon, sampled at one time.
*/
export type DaemonCounters = {
	readonly at: number;
	readonly processorSeconds: number;
	readonly residentBytes: number;
	readonly liveBytes: number;
	readonly writtenBytes: number;
	readonly readBytes: number;
	readonly heartbeatBytes: number;
	/** Size of the metrics answer that this sample was read from, which is subtracted from the bytes that the daemon wrote. */
	readonly answerBytes: number;
};

/**
Reads the value of one sample from a daemon's metrics text.

@returns 0 when the text has no such sample.
*/
export const readSample = (metrics: string, name: string): number =>
	Number(metrics.split('\n').find(line => line.startsWith(`${name} `))?.split(' ').at(-1) ?? 0);

/**
Reads the daemon's metrics, and the kernel's counters of the bytes that it has read and written.
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
Measures the resources that a daemon uses over a number of seconds, from several samples of its counters.

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
