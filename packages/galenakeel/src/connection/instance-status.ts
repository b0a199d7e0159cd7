import {request as httpRequest, type IncomingMessage} from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import {parseJson} from '@galenakeel/model/connection/json.js';
import {
	InstanceRole, ListedState, splitAddress, type ListedInstance, type Platform,
} from '@galenakeel/model/connection/platform-client.js';

const pollMilliseconds = 100;
const unreachableState = 'unreachable';

/**
The status of an entry instance; only name and zone are known of one that can't be reached.
*/
export type InstanceStatus = Pick<DaemonStatus, 'instance' | 'zone' | 'state' | 'catalogueVersion'> & Partial<DaemonStatus>;

const readText = async (message: IncomingMessage): Promise<string> => {
	let text = '';
	message.setEncoding('utf8');
	for await (const chunk of message as AsyncIterable<string>) {
		text += chunk;
	}

	return text;
};

const readStatus = async (listed: ListedInstance, callMilliseconds: number): Promise<InstanceStatus> => {
	const [host, port] = splitAddress(listed.operators ?? '');
	try {
		const request = httpRequest({
			host, port, path: '/v1/status', agent: false, signal: AbortSignal.timeout(callMilliseconds),
		});
		request.end();
		const [response] = await once(request, 'response') as [IncomingMessage];
		return parseJson<InstanceStatus>(await readText(response));
	} catch {
		return {
			instance: listed.name, zone: listed.zone, state: unreachableState, catalogueVersion: 0,
		};
	}
};

/**
Asks every listed entry instance for its status.
*/
export const readStatuses = async (platform: Platform, callMilliseconds: number): Promise<readonly InstanceStatus[]> => {
	const listed = await platform.listInstances();
	const entries = listed.filter(({role}) => role === InstanceRole.Entry);
	return Promise.all(entries.map(async entry => readStatus(entry, callMilliseconds)));
};

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
		const listed = await platform.listInstances();
		const live = listed.filter(({role, state}) => role === InstanceRole.Entry && state === ListedState.Live);
		const statuses = await Promise.all(live.map(async entry => readStatus(entry, limits.callMilliseconds)));
		const behind = statuses.filter(({catalogueVersion}) => catalogueVersion < version).map(({instance}) => instance);
		if (behind.length === 0 || Date.now() >= until) {
			return behind;
		}

		await sleep(pollMilliseconds);
	}
};
