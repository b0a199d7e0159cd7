import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';
import type {Membership} from './membership.js';
import type {SharedTurns} from './shared-turns.js';

/**
Polls the platform's list of instances in this instance's turns until the process ends. Before the first list has been read, it polls in every slot.
*/
export const runInstanceWatch = async (options: {
	readonly platform: Platform;
	readonly membership: Membership;
	readonly turns: SharedTurns;
	/** Called after each list that has been read. */
	readonly onList: () => void;
	readonly log: Log;
}): Promise<never> => {
	const {platform, membership, turns, log} = options;
	let hasList = false;
	for (;;) {
		try {
			membership.updateListed(await platform.listInstances());
			hasList = true;
			options.onList();
		} catch (error) {
			log.warn({event: LogEvent.PlatformUnavailable, detail: detailOf(error)}, 'could not read the instance list from the platform; the previous list stays in use');
		}

		await (hasList ? turns.untilOurTurn() : turns.untilNextSlot());
	}
};
