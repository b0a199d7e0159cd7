/**
Conversations with callers that leave and submit their jobs again in another zone, while those that ran them are behind.
*/
import type {Job} from '@galenakeel/model/request/job.js';
import {readyMilliseconds, type ConversationParts, type PlanConversation} from './assignment-conversation.js';
import type {SeededRandom} from './seeded-random.js';
import type {CallerPlan} from './simulated-caller.js';
import type {SimulatedDaemon} from './simulated-daemon.js';
import {drawSlowActions} from './slow-actions.js';

/**
How the end of a caller's connection reaches the daemon.
*/
export enum EndArrival {
	/** At once; the daemon reads it when it gets to it. */
	Prompt = 'promptly',
	/** Some seconds late, or never; callers say how long they wait. */
	Late = 'late or never',
	/** The same, and requests are on their way for some time too, as on a link that is held up. */
	HeldUp = 'late or never, as do their requests',
}

/**
Why daemons are behind.
*/
export enum Delay {
	/** They stand still. */
	Stop = 'stand still',
	/** They are slow. */
	Slow = 'are slow',
}

const jobsOfConversation = 6;
const betweenJobsMilliseconds = 4500;
const processorOfTask = 1000;
/** Outlasts both attempts of a caller. */
const taskMilliseconds = 6000;
const latestMilliseconds = 3000;
const requestDelays = [100, 800] as const;
const neverProbability = 0.3;
const slowDelays = [1500, 4000] as const;
const stops = [300, 3500] as const;
/** Time before the caller leaves from which on daemons may be behind. */
const aheadMilliseconds = 1200;
const ownerProbability = 0.5;
const heldUpProbability = 0.4;
const lateEndpointProbability = 0.7;

const createJob = (number: number): Job => ({
	identifier: number.toString(16).padStart(16, '0'),
	specification: JSON.stringify([[taskMilliseconds]]),
	steps: [{
		tasks: 1, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds: taskMilliseconds, after: [],
	}],
});

const drawEndDelay = (random: SeededRandom, endArrival: EndArrival): number => {
	if (endArrival === EndArrival.Prompt) {
		return 0;
	}

	return random.isChosen(neverProbability) ? Number.POSITIVE_INFINITY : random.integer(1, latestMilliseconds);
};

const ownersIn = (daemons: readonly SimulatedDaemon[], zone: string): readonly SimulatedDaemon[] =>
	daemons.filter(daemon => daemon.ownedCells().includes(zone));

/** Schedules what delays the holder of a job, its owner, the messages between them and the calls of endpoints, about the time when the caller leaves. */
const scheduleDelays = ({random, daemons, endpoints, streams, history}: ConversationParts, delay: Delay, holder: SimulatedDaemon, leavesAt: number): void => {
	const at = (milliseconds: number, text: string, action: () => void): void => {
		setTimeout(() => {
			history.record(undefined, `*** ${text}`);
			action();
		}, milliseconds);
	};

	const drawStart = (): number => leavesAt + random.integer(-aheadMilliseconds, 0);

	const delayDaemons = (name: string, choose: () => readonly SimulatedDaemon[]): void => {
		const startsAt = drawStart();
		const [least, most] = delay === Delay.Stop ? stops : slowDelays;
		const milliseconds = random.integer(least, most);
		at(startsAt, `${name} behind for ${milliseconds} ms`, () => {
			const chosen = choose();
			for (const {process} of chosen) {
				if (delay === Delay.Stop) {
					process.stop();
				} else {
					process.setActionTime(drawSlowActions(random));
				}
			}

			setTimeout(() => {
				for (const {process} of chosen) {
					process.resume();
					process.setActionTime(undefined);
				}
			}, milliseconds);
		});
	};

	delayDaemons('holder', () => [holder]);
	if (random.isChosen(ownerProbability)) {
		delayDaemons('owner', () => ownersIn(daemons, holder.zone));
	}

	if (random.isChosen(heldUpProbability)) {
		const milliseconds = random.integer(300, 2000);
		at(drawStart(), `holder held up for ${milliseconds} ms`, () => {
			for (const owner of ownersIn(daemons, holder.zone)) {
				streams.holdUp(holder.process.name, owner.process.name, milliseconds);
			}
		});
	}

	if (random.isChosen(lateEndpointProbability)) {
		const milliseconds = random.integer(500, 2500);
		at(drawStart(), `endpoints late for ${milliseconds} ms`, () => {
			for (const endpoint of endpoints.filter(({identifier}) => identifier.startsWith(holder.zone))) {
				endpoint.carryOutLate(milliseconds);
			}
		});
	}
};

/**
Plans such conversations.

@example
```
const {failures} = await holdConversation(17, planReturningCallers(EndArrival.Late, Delay.Slow));
```
*/
export const planReturningCallers = (endArrival: EndArrival, delay: Delay): PlanConversation => parts => {
	const {random, daemons} = parts;

	const planCaller = (number: number): CallerPlan => {
		const holder = random.pick(daemons);
		const submitsAt = readyMilliseconds + (number * betweenJobsMilliseconds);
		const patience = random.integer(300, 1800);
		scheduleDelays(parts, delay, holder, submitsAt + patience);
		return {
			job: createJob(number),
			submitsAt,
			daemons: [holder, random.pick(daemons.filter(({zone}) => zone !== holder.zone))],
			leavesAfter: [patience, random.integer(300, 900)],
			announcesWait: endArrival !== EndArrival.Prompt,
			endDelays: [drawEndDelay(random, endArrival), 0],
			requestDelays: [endArrival === EndArrival.HeldUp ? random.integer(...requestDelays) : 0, 0],
		};
	};

	return {
		callers: Array.from({length: jobsOfConversation}, (_, number) => planCaller(number)),
		endsAt: readyMilliseconds + (jobsOfConversation * betweenJobsMilliseconds),
	};
};
