import {setTimeout as sleep} from 'node:timers/promises';
import type {Outcome} from '@galenakeel/model/request/outcome.js';
import {submitAsCaller} from '../request/caller.js';
import type {Fleet} from './fleet.js';

const peakRequests = 600;
const peakMilliseconds = 1000;
const taskMilliseconds = 300;

/**
Commands that the playground reads from standard input.
*/
export enum PlaygroundCommand {
	/** Stops the platform from answering calls. */
	PlatformDown = 'platform down',
	/** Makes the platform answer again. */
	PlatformUp = 'platform up',
	/** Partitions the availability zone of the first daemon from the other zones and from the platform. */
	CutZone = 'cut zone',
	/** Ends the partition of that zone. */
	HealZone = 'heal zone',
	/** Sends a load peak: 600 requests within one second. */
	Peak = 'crest',
}

const commands: ReadonlySet<string> = new Set(Object.values(PlaygroundCommand));

/**
Checks whether a line of input is a playground command.
*/
export const isPlaygroundCommand = (line: string): line is PlaygroundCommand => commands.has(line);

const setCut = (fleet: Fleet, isCut: boolean): string => {
	const {zone} = (fleet.daemons[0]!);
	const inside = fleet.daemons.filter(daemon => daemon.zone === zone);
	const outside = fleet.daemons.filter(daemon => daemon.zone !== zone);
	const links = fleet.links!;
	const crossing = inside.flatMap(({instance}) => [
		links.toPlatform.get(instance)!,
		...outside.flatMap(other => [links.between(instance, other.instance), links.between(other.instance, instance)]),
	]);
	for (const proxy of crossing) {
		proxy.faults.isRefusing = isCut;
		if (isCut) {
			proxy.resetConnections();
		}
	}

	return `${zone} is ${isCut ? 'cut off from the other zones and from the platform' : 'reachable again'}`;
};

const sendPeak = async (fleet: Fleet, service: string): Promise<string> => {
	const counts = new Map<Outcome, number>();
	await Promise.all(Array.from({length: peakRequests}, async (_, position) => {
		await sleep(position * peakMilliseconds / peakRequests);
		const {outcome} = await submitAsCaller(fleet.balancer.address, 'POST', `/v1/services/${service}/sheet?task=crest-${position}&run=${taskMilliseconds}`, {
			body: 'crest', headers: {'galenakeel-deadline-milliseconds': '3000'},
		});
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}));
	const parts = [...counts].map(([outcome, count]) => `${count} ${outcome}`);
	return `${peakRequests} requests of ${taskMilliseconds} ms within ${peakMilliseconds} ms: ${parts.join(', ')}`;
};

/**
Runs a command on the fleet.

@returns A message for the user that describes the new state or the outcomes.

@example
```
await runPlaygroundCommand(PlaygroundCommand.PlatformDown, fleet, 'paysheet'); // => 'the platform answers no call'
```
*/
export const runPlaygroundCommand = async (command: PlaygroundCommand, fleet: Fleet, service: string): Promise<string> => {
	switch (command) {
		case PlaygroundCommand.PlatformDown: {
			fleet.platform.faults.isDown = true;
			return 'the platform answers no call';
		}

		case PlaygroundCommand.PlatformUp: {
			fleet.platform.faults.isDown = false;
			return 'the platform answers again';
		}

		case PlaygroundCommand.CutZone: {
			return setCut(fleet, true);
		}

		case PlaygroundCommand.HealZone: {
			return setCut(fleet, false);
		}

		case PlaygroundCommand.Peak: {
			return sendPeak(fleet, service);
		}
	}
};
