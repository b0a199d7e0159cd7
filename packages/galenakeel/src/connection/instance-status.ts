import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import {parseJson} from '@galenakeel/model/connection/json.js';
import {
	InstanceRole, ListedState, type ListedInstance, type Platform,
} from '@galenakeel/model/connection/platform-client.js';
import {callDaemon} from './daemon-call.js';

const pollMilliseconds = 100;

/**
The state that is shown for an instance that does not answer.
*/
export const unreachableState = 'unreachable';

/**
The status of an entry instance; only name and zone are known of one that can't be reached.
*/
export type InstanceStatus = Pick<DaemonStatus, 'instance' | 'zone' | 'state' | 'catalogueVersion'> & Partial<DaemonStatus>;

/**
Asks one listed entry instance for its status.
*/
export const readStatus = async (listed: ListedInstance, callMilliseconds: number): Promise<InstanceStatus> => {
	try {
		const {text} = await callDaemon(listed.operators ?? '', {method: 'GET', path: '/v1/status'}, callMilliseconds);
		return parseJson<InstanceStatus>(text);
	} catch {
		return {
			instance: listed.name, zone: listed.zone, state: unreachableState, catalogueVersion: 0,
		};
	}
};

/**
Lists the entry instances, by name.
*/
export const listEntries = async (platform: Platform): Promise<readonly ListedInstance[]> => {
	const listed = await platform.listInstances();
	return listed.filter(({role}) => role === InstanceRole.Entry).toSorted((first, second) => first.name.localeCompare(second.name));
};

/**
Asks entry instances for their status.
*/
export const readStatuses = async (entries: readonly ListedInstance[], callMilliseconds: number): Promise<readonly InstanceStatus[]> =>
	Promise.all(entries.map(async entry => readStatus(entry, callMilliseconds)));

/**
Waits until every live instance has a catalogue version in force.

@returns The instances that still have not when the wait ends.

@example
```
const behind = await waitUntilInForce(platform, 18, {waitMilliseconds: 10_000, callMilliseconds: 2000});
```
*/
export const waitUntilInForce = async (platform: Platform, version: number, limits: {waitMilliseconds: number; callMilliseconds: number}): Promise<readonly string[]> => {
	const until = Date.now() + limits.waitMilliseconds;
	for (;;) {
		const entries = await listEntries(platform);
		const live = entries.filter(({state}) => state === ListedState.Live);
		const statuses = await Promise.all(live.map(async entry => readStatus(entry, limits.callMilliseconds)));
		const behind = statuses.filter(({catalogueVersion}) => catalogueVersion < version).map(({instance}) => instance);
		if (behind.length === 0 || Date.now() >= until) {
			return behind;
		}

		await sleep(pollMilliseconds);
	}
};
