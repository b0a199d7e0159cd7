/**
Conversations in which a cell changes its owner while the next one doesn't know all endpoints on which the former one starts tasks.
*/
import type {Job} from '@galenakeel/model/request/job.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {ConversationParts, PlanConversation} from './assignment-conversation.js';
import type {SeededRandom} from './seeded-random.js';
import type {CallerPlan} from './simulated-caller.js';
import type {SimulatedDaemon} from './simulated-daemon.js';
import {processorOfTask} from './simulated-fleet.js';

/**
How an owner loses its cell.
*/
export enum OwnerChange {
	/** It stands still for some seconds, and learns of the next owner some time after it has woken. */
	Stop = 'stands still',
	/** It announces that it leaves, and hears of the next owner at once. */
	Leave = 'leaves',
	/** It stands still until the next owner has done its work. */
	LongStop = 'stands still for long',
	/** Its process ends, and starts again at the same address. */
	Restart = 'restarts',
	/** It doesn't hear the other daemons for some time, nor they it, and goes on with what it can reach. */
	Cut = 'is cut off from the other daemons',
	/** It doesn't hear the other daemon of its zone for some time, nor that one it, so that both claim the cell and raise their tokens in turn. */
	Apart = 'is cut off from its neighbour',
	/** It gives up its cell and claims it in another term. */
	Reclaim = 'claims its cell anew',
}

/**
Why the next owner doesn't know what runs at an endpoint.
*/
export enum UnknownEndpoint {
	/** The former owner has listed the endpoint, the next one has not yet. */
	New = 'has not listed an endpoint yet',
	/** The entry of the endpoint has expired some time before, and the former owner's runs go on there. */
	Forgotten = 'has forgotten an endpoint',
	/** The calls of the next owner don't arrive at the endpoint. */
	Unreached = 'does not reach an endpoint',
	/** The endpoint leaves calls unanswered for some time, of both owners, and carries them out late. */
	Late = 'finds an endpoint late',
}

const zone = 'north';
const label = 'a';
const shortTaskMilliseconds = 700;
const longTaskMilliseconds = 4500;
/** When the jobs are submitted: lists that were read before, and what a cell remembers of earlier ones, have settled. */
const submitMilliseconds = 4400;
/** Time after which an endpoint that is no longer listed counts as gone. */
const forgetMilliseconds = 2700;
/** Shortest and longest standstill of an owner, in milliseconds. */
const stops = [1500, 4500] as const;
const longStops = [5000, 6000] as const;
/** Shortest and longest time between two events that follow each other. */
const betweenMilliseconds = [50, 500] as const;
const afterwardsMilliseconds = 2000;
const jobsOfConversation = 3;
/** Changes at whose end the former owner lists the new endpoint; it does before the others. */
const listsAtEnd: ReadonlySet<OwnerChange> = new Set([OwnerChange.Stop, OwnerChange.Cut, OwnerChange.Apart]);

/** Its tasks require a label, so that they stay in their cell. */
const createJob = (random: SeededRandom, number: number): Job => {
	const milliseconds = random.pick([shortTaskMilliseconds, longTaskMilliseconds, longTaskMilliseconds]);
	const tasks = random.integer(1, 2);
	return {
		identifier: number.toString(16).padStart(16, '0'),
		specification: JSON.stringify([Array.from({length: tasks}, () => milliseconds)]),
		steps: [{
			tasks, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: milliseconds, requiredLabel: label, after: [],
		}],
	};
};

/**
Plans conversations in which an owner is replaced by one that doesn't know an endpoint.

@example
```
const {failures} = await holdConversation(17, planChangingOwners(OwnerChange.Stop, UnknownEndpoint.New));
```
*/
export const planChangingOwners = (change: OwnerChange, unknown: UnknownEndpoint): PlanConversation => ({random, daemons, endpoints, entries, streams, history, kill}: ConversationParts) => {
	/** The daemons of the zone as they are now, since one may restart. */
	const ofZone = (): readonly SimulatedDaemon[] => daemons.filter(daemon => daemon.zone === zone);
	const unknownAt = entries.findLastIndex(entry => entry.zone === zone);
	const otherEntries = entries.toSpliced(unknownAt, 1);
	const changesAt = submitMilliseconds + (unknown === UnknownEndpoint.Forgotten ? forgetMilliseconds : 0) + random.integer(...betweenMilliseconds);
	const [leastStop, mostStop] = change === OwnerChange.LongStop ? longStops : stops;
	const stopMilliseconds = random.integer(leastStop, mostStop);

	const schedule = (at: number, text: string, action: () => void): void => {
		setTimeout(() => {
			history.record(undefined, `*** ${text}`);
			action();
		}, at);
	};

	const findOwner = (): SimulatedDaemon | undefined => ofZone().find(daemon => daemon.ownedCells().includes(zone));

	/** A daemon that stands still reads a list once it has woken. */
	const list = (listed: readonly EndpointEntry[], readers: readonly SimulatedDaemon[]): void => {
		for (const daemon of readers) {
			daemon.process.execute('store', () => {
				daemon.list(listed);
			});
		}
	};

	/** All daemons read twice that the platform lists one endpoint less, the second time when they count it as gone. */
	const forgetAt = (at: number): void => {
		for (const milliseconds of [at, at + forgetMilliseconds]) {
			schedule(milliseconds, `the platform lists ${otherEntries.length} endpoints`, () => {
				list(otherEntries, daemons);
			});
		}
	};

	/** The former owner, as known when the change began. */
	let former: SimulatedDaemon | undefined;

	const planUnknown = (): void => {
		switch (unknown) {
			case UnknownEndpoint.New: {
				const listedAt = listsAtEnd.has(change) ? changesAt + stopMilliseconds : changesAt - random.integer(...betweenMilliseconds);
				forgetAt(1);
				schedule(listedAt - 1, 'the former owner reads of a new endpoint', () => {
					list(entries, ofZone().filter(daemon => daemon === (former ?? findOwner())));
				});
				schedule(listedAt + (2 * random.integer(...betweenMilliseconds)), 'the others read of the new endpoint', () => {
					list(entries, daemons);
				});
				break;
			}

			case UnknownEndpoint.Forgotten: {
				forgetAt(submitMilliseconds + 1);
				break;
			}

			case UnknownEndpoint.Unreached: {
				schedule(changesAt, 'the next owner does not reach an endpoint', () => {
					for (const daemon of ofZone().filter(one => one !== former || change === OwnerChange.Reclaim)) {
						endpoints[unknownAt]!.cutOff(daemon.process.name);
					}
				});
				break;
			}

			case UnknownEndpoint.Late: {
				schedule(changesAt - random.integer(...betweenMilliseconds), 'an endpoint carries calls out late', () => {
					endpoints[unknownAt]!.carryOutLate(stopMilliseconds);
				});
			}
		}
	};

	/** Holds up what an owner and its peers among some daemons send to each other. */
	const holdUp = (owner: SimulatedDaemon, among: readonly SimulatedDaemon[]): void => {
		for (const {process: {name}} of among.filter(daemon => daemon !== owner)) {
			streams.holdUp(owner.process.name, name, stopMilliseconds);
			streams.holdUp(name, owner.process.name, stopMilliseconds);
		}
	};

	const begin = (owner: SimulatedDaemon): void => {
		switch (change) {
			case OwnerChange.Leave: {
				owner.process.execute('signals', owner.leave);
				return;
			}

			case OwnerChange.Stop:
			case OwnerChange.LongStop: {
				owner.process.stop();
				schedule(stopMilliseconds + 1, 'it wakes', owner.process.resume);
				return;
			}

			case OwnerChange.Restart: {
				const restart = kill(owner);
				const isListed = unknown === UnknownEndpoint.Unreached || unknown === UnknownEndpoint.Late;
				setTimeout(() => {
					restart(isListed ? entries : otherEntries);
				}, random.integer(...betweenMilliseconds));
				return;
			}

			case OwnerChange.Cut: {
				holdUp(owner, daemons);
				return;
			}

			case OwnerChange.Apart: {
				holdUp(owner, ofZone());
				return;
			}

			case OwnerChange.Reclaim: {
				owner.process.execute('disruptions', owner.yieldCells);
			}
		}
	};

	const planChange = (): void => {
		schedule(changesAt - 1, `the owner ${change}`, () => {
			former = findOwner();
			if (former) {
				begin(former);
			}
		});
	};

	planChange();
	planUnknown();
	const callers = Array.from({length: jobsOfConversation}, (_, number): CallerPlan => ({
		job: createJob(random, number),
		submitsAt: submitMilliseconds + Math.round(number * random.integer(...betweenMilliseconds) / 4),
		daemons: [change === OwnerChange.Restart ? ofZone().at(-1)! : random.pick(ofZone())],
		leavesAfter: [Number.POSITIVE_INFINITY],
	}));
	return {callers, endsAt: changesAt + stopMilliseconds + afterwardsMilliseconds};
};
