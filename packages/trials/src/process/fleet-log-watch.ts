import {openSync, closeSync, readSync} from 'node:fs';
import {Buffer} from 'node:buffer';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {zoneOfCell} from 'galenakeeld/process/fleet/cell-layout.js';

/**
What the logs of a fleet's daemons tell while they run.
*/
export type FleetLogWatch = {
	/** Instances that last claimed a cell of a zone, in the order of the cells' names. */
	readonly ownersOf: (zone: string) => readonly string[];
	/** Number of lines of each event so far. */
	readonly counts: () => ReadonlyMap<string, number>;
	readonly stop: () => Promise<void>;
};

type Claimed = {readonly instance: string; readonly token: number};
type LogLine = {readonly event?: string; readonly instance?: string; readonly cell?: string; readonly token?: number};

const pollMilliseconds = 100;
const readBytes = 1_048_576;
const claimedEvent = 'cell-claimed';
const eventPattern = /"event":"(?<event>[^"]+)"/v;

/**
Follows the logs of daemons.

@param directory Directory of the logs; each is named after its instance.

@example
```
const watch = watchFleetLogs(fleet.directory, fleet.daemons.map(({instance}) => instance));
watch.ownersOf('north'); // => ['entry-north-0']
```
*/
export const watchFleetLogs = (directory: string, instances: readonly string[]): FleetLogWatch => {
	const files = instances.map(instance => ({file: openSync(join(directory, `${instance}.log`), 'r'), rest: ''}));
	const owners = new Map<string, Claimed>();
	const counts = new Map<string, number>();
	const buffer = Buffer.alloc(readBytes);
	const stopping = new AbortController();

	const takeLine = (line: string): void => {
		const event = eventPattern.exec(line)?.groups!.event;
		if (event === undefined) {
			return;
		}

		counts.set(event, (counts.get(event) ?? 0) + 1);
		if (event === claimedEvent) {
			const {cell = '', instance = '', token = 0} = JSON.parse(line) as LogLine;
			if (token >= (owners.get(cell)?.token ?? 0)) {
				owners.set(cell, {instance, token});
			}
		}
	};

	const readAll = (): void => {
		for (const one of files) {
			for (let length = readSync(one.file, buffer); length > 0; length = readSync(one.file, buffer)) {
				const lines = `${one.rest}${buffer.toString('utf8', 0, length)}`.split('\n');
				one.rest = lines.pop()!;
				for (const line of lines) {
					takeLine(line);
				}
			}
		}
	};

	const run = async (): Promise<void> => {
		while (!stopping.signal.aborted) {
			readAll();
			await sleep(pollMilliseconds);
		}

		readAll();
		for (const {file} of files) {
			closeSync(file);
		}
	};

	readAll();
	const running = run();
	return {
		ownersOf: zone => [...owners]
			.filter(([cell]) => zoneOfCell(cell) === zone)
			.toSorted(([first], [second]) => first < second ? -1 : 1)
			.map(([, {instance}]) => instance),
		counts: () => counts,
		async stop() {
			stopping.abort();
			await running;
		},
	};
};
