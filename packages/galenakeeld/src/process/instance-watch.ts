import {setTimeout as sleep} from 'node:timers/promises';
import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';
import type {Membership} from './membership.js';
import type {PeerDirectory} from './peer-directory.js';

/**
Reads the platform's list of instances until the process ends.
*/
export const runInstanceWatch = async (options: {
	readonly platform: Platform;
	readonly membership: Membership;
	readonly directory: PeerDirectory;
	readonly pollMilliseconds: number;
	readonly log: Log;
}): Promise<never> => {
	const {platform, membership, directory, pollMilliseconds, log} = options;
	for (;;) {
		try {
			membership.list(await platform.listInstances());
		} catch (error) {
			log.warn({event: LogEvent.PlatformUnavailable, detail: detailOf(error)}, 'the instance list could not be read; the last one stays in use');
		}

		directory.connect();
		await sleep(pollMilliseconds);
	}
};
