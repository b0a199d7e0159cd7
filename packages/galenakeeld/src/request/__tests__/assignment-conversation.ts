/**
A conversation between holders and owners under disruptions, the same for the same seed.
*/
import {performance} from 'node:perf_hooks';
import type {FleetMessageKind} from '@galenakeel/model/connection/fleet-message.js';
import type {Job, Step} from '@galenakeel/model/request/job.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import {scheduleDisruptions, type PlannedDisruption} from './conversation-disruptions.js';
import {createConversationHistory, type ConversationHistory} from './conversation-history.js';
import {findBrokenRules, type BrokenRule} from './conversation-rules.js';
import {createSeededRandom, type SeededRandom} from './seeded-random.js';
import {startSimulatedCaller, type CallerPlan, type SimulatedCaller} from './simulated-caller.js';
import type {SimulatedDaemon} from './simulated-daemon.js';
import type {TaskDurations} from './simulated-endpoint.js';
import {createSimulatedFleet, processorOfTask, type SimulatedFleet} from './simulated-fleet.js';
import {createSimulatedProcesses, type SimulatedProcesses} from './simulated-processes.js';

/**
A broken rule, with the history of its job.
*/
export type ConversationFailure = BrokenRule & {readonly seed: number; readonly history: readonly string[]};

/**
What a conversation has shown.
*/
export type ConversationResult = {
	readonly failures: readonly ConversationFailure[];
	readonly jobs: number;
	readonly runs: number;
	/** Number of messages between daemons that were read, by kind. */
	readonly messages: ReadonlyMap<FleetMessageKind, number>;
};

/** What a conversation is planned with. */
export type ConversationParts = Omit<SimulatedFleet, 'close'> & {
	readonly random: SeededRandom;
	readonly history: ConversationHistory;
};

/**
Schedules the disruptions of a conversation, and returns what its callers do and when the last disruption ends, in monotonic milliseconds.
*/
export type PlanConversation = (parts: ConversationParts) => {readonly callers: readonly CallerPlan[]; readonly endsAt: number};

/** When each cell has an owner, and callers and disruptions begin, in milliseconds. */
export const readyMilliseconds = 1600;
const busyMilliseconds = 3000;
const soonMilliseconds = 400;
/** Time after the last disruption and submission in which each job has to be answered. */
const answerMilliseconds = 30_000;
/** Time for which starts are watched after the last answer. */
const afterwardsMilliseconds = 1500;
const watchMilliseconds = 100;
const mostAttempts = 4;
/** Jobs of longer tasks have few of them. */
const longMilliseconds = 400;

const createSteps = (random: SeededRandom): {readonly steps: readonly Step[]; readonly durations: TaskDurations} => {
	const base = random.integer(20, random.isChosen(0.6) ? 400 : 1800);
	const mostTasks = base > longMilliseconds ? 3 : 14;
	const counts = random.isChosen(0.2) ? [random.integer(1, 3), random.integer(1, 3)] : [random.integer(1, random.isChosen(0.3) ? mostTasks : Math.min(6, mostTasks))];
	const estimateMilliseconds = Math.round(base * (0.4 + (1.4 * random.next())));
	return {
		steps: counts.map((tasks, position) => ({
			tasks, room: {processor: processorOfTask, memoryMegabytes: 1, accelerators: 0}, estimateMilliseconds, after: position === 0 ? [] : [position - 1],
		})),
		durations: counts.map(tasks => Array.from({length: tasks}, () => Math.round(base * (0.7 + (0.6 * random.next()))))),
	};
};

const createJob = (random: SeededRandom, number: number): Job => {
	const {steps, durations} = createSteps(random);
	return {identifier: number.toString(16).padStart(16, '0'), specification: JSON.stringify(durations), steps};
};

const createQueue = (random: SeededRandom): Queue => ({
	name: 'sheets', host: 'sheets.example', pathPrefix: '/', service: 'sheets', priority: 0, mostAttempts: 3, objectiveFactor: 1.6, objectiveMilliseconds: random.integer(40, 600),
});

type Occasion = {readonly submitsAt: number; readonly daemon: SimulatedDaemon};

/** Most jobs are submitted shortly before or about the end of a disruption, many of them to a daemon that it concerns. */
const pickOccasion = (random: SeededRandom, daemons: readonly SimulatedDaemon[], disruptions: readonly PlannedDisruption[]): Occasion => {
	const disruption = random.pick(disruptions);
	const daemon = random.isChosen(0.5) ? random.pick(disruption.daemons) : random.pick(daemons);
	const kind = random.next();
	if (kind < 0.4) {
		return {submitsAt: disruption.startsAt - random.integer(0, soonMilliseconds), daemon};
	}

	return {submitsAt: kind < 0.8 ? disruption.endsAt + random.integer(-soonMilliseconds, soonMilliseconds) : readyMilliseconds + random.integer(0, busyMilliseconds), daemon};
};

const planCaller = (random: SeededRandom, daemons: readonly SimulatedDaemon[], number: number, disruptions: readonly PlannedDisruption[]): CallerPlan => {
	const {submitsAt, daemon} = pickOccasion(random, daemons, disruptions);
	return {
		job: createJob(random, number),
		submitsAt: Math.max(readyMilliseconds, submitsAt),
		daemons: [daemon, ...Array.from({length: mostAttempts - 1}, () => random.pick(daemons))],
		leavesAfter: Array.from({length: mostAttempts}, (_, attempt) => random.isChosen(0.35) && attempt < mostAttempts - 1 ? random.integer(50, 2500) : Number.POSITIVE_INFINITY),
	};
};

/** Many callers, and disruptions of all kinds. */
const planBusyTime: PlanConversation = ({random, daemons, endpoints, streams, history}) => {
	const disruptions = scheduleDisruptions({
		random, daemons, endpoints, streams, history, from: readyMilliseconds, to: readyMilliseconds + busyMilliseconds,
	});
	return {
		callers: Array.from({length: random.integer(10, 28)}, (_, number) => planCaller(random, daemons, number, disruptions)),
		endsAt: Math.max(readyMilliseconds + busyMilliseconds, ...disruptions.map(({endsAt}) => endsAt)),
	};
};

const converse = async (seed: number, random: SeededRandom, processes: SimulatedProcesses, planConversation: PlanConversation): Promise<ConversationResult> => {
	const history = createConversationHistory();
	const {close, ...fleet} = await createSimulatedFleet(random, processes, history);
	const queue = createQueue(random);
	const plan = planConversation({random, history, ...fleet});
	const callers = plan.callers.map((caller): SimulatedCaller => startSimulatedCaller(caller, queue, history));
	const calmFrom = plan.endsAt + soonMilliseconds;
	while (performance.now() < calmFrom + answerMilliseconds && !(performance.now() > calmFrom && callers.every(({isDone}) => isDone()))) {
		await processes.runUntil(performance.now() + watchMilliseconds);
	}

	await processes.runUntil(performance.now() + afterwardsMilliseconds);
	const runs = fleet.endpoints.flatMap(endpoint => endpoint.runs);
	const failures = callers.flatMap(caller => findBrokenRules(caller, runs)).map(broken => ({...broken, seed, history: history.linesOf(broken.job)}));
	close();
	return {
		failures, jobs: callers.length, runs: runs.length, messages: fleet.streams.messages,
	};
};

/**
Holds the conversation of a seed.

@param planConversation Plans callers and disruptions; many of all kinds by default.

@example
```
const {failures} = await holdConversation(17);
```
*/
export const holdConversation = async (seed: number, planConversation = planBusyTime): Promise<ConversationResult> => {
	const random = createSeededRandom(seed);
	const processes = createSimulatedProcesses(random);
	try {
		return await converse(seed, random, processes, planConversation);
	} finally {
		processes.uninstall();
	}
};
