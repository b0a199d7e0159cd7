import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import type {Violation} from '../request/check-history.js';
import type {History} from '../request/history.js';
import {ProvePoint} from '../version/prove-point.js';
import type {Fleet} from './fleet.js';

const pollIntervalMilliseconds = 20;
const usualLimitMilliseconds = 2000;
const usualShare = 0.99;
const absoluteLimitMilliseconds = 4000;

type ObservedVersion = {readonly instance: string; readonly service: string; readonly version: number; readonly at: number};

/**
Polls the document versions in force on daemons until it is stopped.
*/
export type VersionWatch = {
	/** Registers an accepted document, which must come into force on all watched daemons within the limits. */
	readonly expect: (service: string, version: number, sentAt: number) => void;
	/** Stops polling, and checks the propagation delays against the limits. */
	readonly stop: () => Promise<readonly Violation[]>;
};

/**
Starts to poll daemons. Each observed version is also recorded in the history.
*/
export const startVersionWatch = (fleet: Fleet, history: History, instances: readonly string[]): VersionWatch => {
	const sightings: ObservedVersion[] = [];
	const expected: Array<Omit<ObservedVersion, 'instance' | 'at'> & {readonly sentAt: number}> = [];
	const stopping = new AbortController();

	const observe = async (instance: string): Promise<void> => {
		const daemon = fleet.daemons.find(candidate => candidate.instance === instance)!;
		const {incarnation, catalogueVersion, documents} = await daemon.status() as DaemonStatus;
		const at = Date.now();
		history.looks.push({incarnation, at, version: catalogueVersion});
		for (const {service, version} of documents) {
			history.looks.push({incarnation: `${incarnation}/${service}`, at, version});
			sightings.push({
				instance, service, version, at,
			});
		}
	};

	const watch = async (instance: string): Promise<void> => {
		while (!stopping.signal.aborted && !fleet.stopped.aborted) {
			try {
				await observe(instance);
			} catch {
				// The daemon can't be reached while it is being replaced.
			}

			await sleep(pollIntervalMilliseconds);
		}
	};

	const delaysOf = (instance: string): readonly number[] => expected.map(({service, version, sentAt}) => {
		const first = sightings.find(sighting => sighting.instance === instance && sighting.service === service && sighting.version >= version);
		return first ? first.at - sentAt : Infinity;
	});

	const watches = instances.map(async instance => watch(instance));
	return {
		expect(service, version, sentAt) {
			expected.push({service, version, sentAt});
			history.accepts.push({sentAt, endedAt: Date.now(), version});
		},
		async stop() {
			stopping.abort();
			await Promise.all(watches);
			return checkDelays(instances.flatMap(instance => delaysOf(instance)));
		},
	};
};

const checkDelays = (delays: readonly number[]): readonly Violation[] => {
	const late = delays.filter(delay => delay > usualLimitMilliseconds);
	const worst = Math.max(0, ...delays);
	if (worst > absoluteLimitMilliseconds || late.length > delays.length * (1 - usualShare)) {
		return [{point: ProvePoint.DocumentInForce, detail: `${late.length} of ${delays.length} documents took longer than ${usualLimitMilliseconds} ms to come into force, the slowest ${worst} ms`}];
	}

	return delays.length > 0 ? [] : [{point: ProvePoint.DocumentInForce, detail: 'no document was accepted; the history proves nothing'}];
};
