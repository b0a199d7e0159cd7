import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import {parseJson} from '@galenakeel/model/connection/json.js';
import {
	InstanceRole, ListedState, type ListedInstance, type Platform,
} from '@galenakeel/model/connection/platform-client.js';
import {callDaemon} from './daemon-call.js';

const pollMilliseconds = 100;

/**
The state reported for an instance that does not respond.
*/
export const unreachableState = 'unreachable';

/**
The status of an entry instance. For an unreachable instance, only its name and zone are known.
*/
export type InstanceStatus = Pick<DaemonStatus, 'instance' | 'zone' | 'state' | 'catalogueVersion'> & Partial<DaemonStatus>;

/**
Requests the status of one listed entry instance. An instance that does not respond is returned with `unreachableState`.
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
Returns the entry instances that the platform lists, sorted by name.
*/
export const listEntries = async (platform: Platform): Promise<readonly ListedInstance[]> => {
	const listed = await platform.listInstances();
	return listed.filter(({role}) => role === InstanceRole.Entry).toSorted((first, second) => first.name.localeCompare(second.name));
};

/**
Requests the status of several entry instances concurrently.
*/
export const readStatuses = async (entries: readonly ListedInstance[], callMilliseconds: number): Promise<readonly InstanceStatus[]> =>
	Promise.all(entries.map(async entry => readStatus(entry, callMilliseconds)));

/**
Waits until every live entry instance has the given catalogue version, or a later one, in force.

@returns The names of the instances that are still behind when the wait ends; empty when none is.

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
