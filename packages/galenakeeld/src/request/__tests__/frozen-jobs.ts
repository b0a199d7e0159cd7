/**
Conversations in which daemons stand still about the start of a job that its caller submits once.
*/
import type {Job} from '@galenakeel/model/request/job.js';
import {readyMilliseconds, type ConversationParts, type PlanConversation} from './assignment-conversation.js';
import type {SeededRandom} from './seeded-random.js';
import type {CallerPlan} from './simulated-caller.js';
import type {SimulatedDaemon} from './simulated-daemon.js';

/**
Which daemons stand still.
*/
export enum Frozen {
	/** The daemon that holds the job. */
	Holder = 'holder',
	/** The owners of the cells of the holder's zone. */
	HomeOwner = 'home owner',
	/** The owners of the cells of other zones. */
	OtherOwners = 'other owners',
	/** The holder and, a little later, the owners of its zone. */
	HolderThenOwner = 'holder, then owner',
	/** The holder, twice in succession. */
	HolderTwice = 'holder twice',
}

const jobsOfConversation = 12;
/** Shorter than the longest standstill, so that later jobs come to daemons that stand still. */
const betweenJobsMilliseconds = 1700;
/** Within this time of its submission, a job has started and its holder has not read so. */
const unreadMilliseconds = 8;
const heartbeatMilliseconds = 200;
const processorOfTask = 1000;
const taskMilliseconds = [80, 300, 900, 2100] as const;
/** Estimate over run time: as estimated, or up to seven times as long. */
const estimateShares = [1, 1, 0.7, 0.3, 0.14] as const;
/** Standstills in which leases last, lapse, and in which holder and owner lose each other. */
const freezes = [[150, 700], [700, 1300], [1300, 2200], [2200, 4500]] as const;

const createJob = (random: SeededRandom, number: number): Job => {
	const milliseconds = random.pick(taskMilliseconds);
	const tasks = random.integer(1, 6);
	return {
		identifier: number.toString(16).padStart(16, '0'),
		specification: JSON.stringify([Array.from({length: tasks}, () => milliseconds)]),
		steps: [{
			tasks, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: Math.round(milliseconds * random.pick(estimateShares)), after: [],
		}],
	};
};

const isOwnerIn = (daemon: SimulatedDaemon, isZone: (zone: string) => boolean): boolean =>
	daemon.ownedCells().some(cell => isZone(cell.split('/', 1)[0]!));

/**
Plans conversations in which these daemons stand still.

@example
```
const {failures} = await holdConversation(17, planFrozenJobs(Frozen.Holder));
```
*/
export const planFrozenJobs = (frozen: Frozen): PlanConversation => ({random, daemons, history}: ConversationParts) => {
	let endsAt = readyMilliseconds;

	const pickFreeze = (): number => {
		const [least, most] = random.pick(freezes);
		return random.integer(least, most);
	};

	const freeze = (at: number, milliseconds: number, choose: () => readonly SimulatedDaemon[]): void => {
		endsAt = Math.max(endsAt, at + milliseconds);
		setTimeout(() => {
			const chosen = choose();
			history.record(undefined, `*** stop ${chosen.map(({process}) => process.name).join(', ')} for ${milliseconds} ms`);
			for (const {process} of chosen) {
				process.stop();
			}

			setTimeout(() => {
				for (const {process} of chosen) {
					process.resume();
				}
			}, milliseconds);
		}, at);
	};

	const planFreeze = (holder: SimulatedDaemon, at: number): void => {
		const homeOwners = (): readonly SimulatedDaemon[] => daemons.filter(daemon => isOwnerIn(daemon, zone => zone === holder.zone));
		const milliseconds = pickFreeze();
		switch (frozen) {
			case Frozen.Holder: {
				freeze(at, milliseconds, () => [holder]);
				break;
			}

			case Frozen.HomeOwner: {
				freeze(at, milliseconds, homeOwners);
				break;
			}

			case Frozen.OtherOwners: {
				freeze(at, milliseconds, () => daemons.filter(daemon => isOwnerIn(daemon, zone => zone !== holder.zone)));
				break;
			}

			case Frozen.HolderThenOwner: {
				freeze(at, milliseconds, () => [holder]);
				freeze(at + random.integer(1, milliseconds), pickFreeze(), () => homeOwners().filter(owner => owner !== holder));
				break;
			}

			case Frozen.HolderTwice: {
				freeze(at, milliseconds, () => [holder]);
				freeze(at + milliseconds + random.integer(1, 400), pickFreeze(), () => [holder]);
			}
		}
	};

	const planJob = (number: number): CallerPlan => {
		const holder = random.pick(daemons);
		const submitsAt = readyMilliseconds + (number * betweenJobsMilliseconds);
		planFreeze(holder, submitsAt + (random.isChosen(0.6) ? random.integer(0, unreadMilliseconds) : random.integer(0, heartbeatMilliseconds)));
		return {
			job: createJob(random, number), submitsAt, daemons: [holder], leavesAfter: [Number.POSITIVE_INFINITY],
		};
	};

	const callers = Array.from({length: jobsOfConversation}, (_, number) => planJob(number));
	return {callers, endsAt: Math.max(endsAt, ...callers.map(({submitsAt}) => submitsAt))};
};
