/**
Replays a load on the cells of several availability zones, with a fake clock and simulated endpoints.
*/
import {performance} from 'node:perf_hooks';
import type {Clock} from '@sinonjs/fake-timers';
import {
	type EndedRun, type EndpointCalls, type PollRequest, type PollReply, CallOutcome, type CallReply, RunEnd, type StartRequest,
} from '@galenakeel/model/connection/endpoint-calls.js';
import {FleetMessageKind, type CellLoad} from '@galenakeel/model/connection/fleet-message.js';
import {JobEnd, type Job, type Step} from '@galenakeel/model/request/job.js';
import {isSameTask, type TaskKey} from '@galenakeel/model/request/task-key.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import {holdJob, type HoldOptions} from '../../../request/hold-job.js';
import {subtractSentProcessor} from '../../fleet/cell-loads.js';
import {createHeldJobs} from '../../fleet/held-jobs.js';
import {createCell, type Cell} from '../cell.js';

/**
A kind of job in the load.
*/
export type LoadQueue = {
	readonly name: string;
	readonly priority: number;
	readonly jobsEachSecond: number;
	readonly tasks: number;
	readonly milliseconds: number;
};

/**
A load to replay.
*/
export type ReplayedLoad = {
	readonly seed: number;
	readonly seconds: number;
	/** Factors of the mean rate at the peak and at the trough of the wave. */
	readonly peak: number;
	readonly trough: number;
	readonly wavePeriodSeconds: number;
	readonly zones: readonly string[];
	/** Share of the jobs by zone. */
	readonly shares: readonly number[];
	readonly endpointsInZone: number;
	readonly queues: readonly LoadQueue[];
};

/**
Results of the jobs of a queue.
*/
export type ReplayResult = {
	readonly queue: string;
	submitted: number;
	inTime: number;
	late: number;
	refused: number;
};

/** One-way latency between a daemon and an endpoint of its zone, with the handling of a call, in milliseconds. */
const callMilliseconds = 1.2;
/** One-way latency between daemons of two zones, with the batching of messages, in milliseconds. */
const peerMilliseconds = 3;
const objectiveFactor = 1.6;
const objectiveMilliseconds = 60;
const deadlineObjectives = 3;
const kinds = [
	{label: 'a', processor: 16_000, speed: 0.7},
	{label: 'a', processor: 16_000, speed: 0.7},
	{label: 'b', processor: 24_000, speed: 1.7},
] as const;
const processorOfTask = 6800;
const largestProcessor = 10_000;
const longTailShare = 0.03;
const longTailFactor = 7;
const workSpread = 0.4;
const taskSpread = 0.15;
const widthSpread = 0.4;
const estimateSpread = 0.4;

/** Park-Miller generator; numbers from 0 to 1. */
const createRandom = (seed: number) => {
	const modulus = (2 ** 31) - 1;
	const multiplier = 48_271;
	let state = seed + 1;
	return (): number => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
};

type Random = ReturnType<typeof createRandom>;

const createNormal = (random: Random): number => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** A value whose logarithm is normal, with mean 1. */
const createLogNormal = (random: Random, spread: number): number => Math.exp((spread * createNormal(random)) - ((spread ** 2) / 2));

type SimulatedRun = {readonly task: TaskKey; readonly attempt: number; readonly processor: number; readonly endsAt: number};

/**
Creates an endpoint that runs tasks for the times in their specification, which holds the processor and the milliseconds of each task by index.

@param totalProcessor Thousandths of a core.
@param speed Run time over the milliseconds of the specification.
*/
export const createSimulatedEndpoint = (totalProcessor: number, speed: number): EndpointCalls => {
	let active: SimulatedRun[] = [];
	let ended: EndedRun[] = [];
	let sequence = 0;
	let wake: (() => void) | undefined;
	const clock = (): number => Math.floor(performance.now());
	const delay = async (): Promise<void> => new Promise(resolve => {
		setTimeout(resolve, callMilliseconds);
	});

	const finish = (run: SimulatedRun, end: RunEnd): void => {
		active = active.filter(one => one !== run);
		sequence++;
		ended.push({
			sequence, task: run.task, attempt: run.attempt, end,
		});
		wake?.();
	};

	const startRun = ({task, attempt, specification}: StartRequest): CallOutcome => {
		const [processor, ...milliseconds] = specification.split(' ').map(Number);
		const used = active.reduce((sum, run) => sum + run.processor, 0);
		if (used + processor! > totalProcessor) {
			return CallOutcome.InsufficientCapacity;
		}

		const run = {
			task, attempt, processor: processor!, endsAt: performance.now() + (milliseconds[task.index]! * speed),
		};
		active.push(run);
		setTimeout(() => {
			if (active.includes(run)) {
				finish(run, RunEnd.Succeeded);
			}
		}, milliseconds[task.index]! * speed);
		return CallOutcome.Done;
	};

	const awaitEnd = async (milliseconds: number): Promise<void> => new Promise(resolve => {
		const timer = setTimeout(resolve, milliseconds);
		wake = () => {
			clearTimeout(timer);
			resolve();
		};
	});

	return {
		async start(request): Promise<CallReply> {
			await delay();
			const outcome = startRun(request);
			const clockMilliseconds = clock();
			await delay();
			return {outcome, clockMilliseconds};
		},
		async stop({task, attempt}): Promise<CallReply> {
			await delay();
			const run = active.find(one => one.attempt === attempt && isSameTask(one.task, task));
			if (run) {
				finish(run, RunEnd.Stopped);
			}

			return {outcome: CallOutcome.Done, clockMilliseconds: clock()};
		},
		async poll({acknowledged, waitMilliseconds}: PollRequest): Promise<PollReply> {
			await delay();
			ended = ended.filter(one => one.sequence > acknowledged);
			if (ended.length === 0 && waitMilliseconds > 0) {
				await awaitEnd(waitMilliseconds);
			}

			const report = {clockMilliseconds: clock(), active: active.map(({task, attempt, processor}) => ({task, attempt, processorInUse: processor})), ended};
			await delay();
			return {outcome: CallOutcome.Done, report};
		},
		close() {
			active = [];
		},
	};
};

type ReplayedJob = {
	readonly job: Job;
	readonly queue: LoadQueue;
	readonly zone: string;
	readonly arrivesAt: number;
	/** Longest task on an endpoint of speed 1, in milliseconds. */
	readonly longestTaskMilliseconds: number;
};

const createReplayedJob = (random: Random, queue: LoadQueue, zone: string, arrivesAt: number, number: number): ReplayedJob => {
	const tasks = Math.max(1, Math.round(queue.tasks * createLogNormal(random, widthSpread)));
	const base = queue.milliseconds * createLogNormal(random, workSpread) * (random() < longTailShare ? longTailFactor : 1);
	const taskDurations = Array.from({length: tasks}, () => Math.max(1, Math.round(base * createLogNormal(random, taskSpread))));
	const processor = Math.min(largestProcessor, Math.round(processorOfTask * createLogNormal(random, 0.2)));
	const step: Step = {
		tasks, room: {processor, memoryMegabytes: 64, accelerators: 0}, estimateMilliseconds: Math.round(base * createLogNormal(random, estimateSpread)), after: [],
	};
	return {
		job: {identifier: number.toString(16).padStart(16, '0'), specification: [processor, ...taskDurations].join(' '), steps: [step]}, queue, zone, arrivesAt,
		longestTaskMilliseconds: Math.max(...taskDurations),
	};
};

const queueOf = ({name, priority}: LoadQueue): Queue => ({
	name, host: 'sheets.example', pathPrefix: '/', service: 'sheets', priority, mostAttempts: 3, objectiveFactor, objectiveMilliseconds,
});

const rateAt = (load: ReplayedLoad, seconds: number): number =>
	((load.peak + load.trough) / 2) + (((load.peak - load.trough) / 2) * Math.cos(2 * Math.PI * seconds / load.wavePeriodSeconds));

const createJobs = (load: ReplayedLoad, random: Random): readonly ReplayedJob[] => {
	const jobs: ReplayedJob[] = [];
	for (const [zoneIndex, zone] of load.zones.entries()) {
		for (const queue of load.queues) {
			let seconds = 0;
			for (;;) {
				seconds -= Math.log(1 - random()) / (queue.jobsEachSecond * load.shares[zoneIndex]! * load.peak);
				if (seconds >= load.seconds) {
					break;
				}

				// Poisson arrivals at the peak rate, thinned to the current rate.
				if (random() * load.peak < rateAt(load, seconds)) {
					jobs.push(createReplayedJob(random, queue, zone, seconds * 1000, jobs.length));
				}
			}
		}
	}

	return jobs.toSorted((first, second) => first.arrivesAt - second.arrivesAt);
};

/**
Replays a load and returns the results of each queue.

@param clock Fake clock.
*/
export const replayLoad = async (load: ReplayedLoad, clock: Clock): Promise<readonly ReplayResult[]> => {
	const random = createRandom(load.seed);
	const jobs = createJobs(load, random);
	const results = new Map(load.queues.map(({name}): [string, ReplayResult] => [name, {
		queue: name, submitted: 0, inTime: 0, late: 0, refused: 0,
	}]));
	const announcedLoads = new Map<string, CellLoad>();
	const sent = new Map<string, Array<{readonly at: number; readonly processor: number}>>();
	const receivedAt = new Map<string, number>();
	const cells = new Map<string, Cell>();
	const heldJobs = createHeldJobs();

	const holdOptions = (replayed: ReplayedJob): HoldOptions => ({
		homeCell: replayed.zone,
		hasCallerLeft: async () => false,
		hold: heldJobs.hold,
		awaitOwner: async cell => ({address: cell, term: 1, token: 1}),
		otherCells: () => load.zones.filter(zone => zone !== replayed.zone),
		send({address}, message) {
			setTimeout(() => {
				if (message.kind === FleetMessageKind.Submit) {
					cells.get(address)!.submit(replayed.zone, message.order);
				} else if (message.kind === FleetMessageKind.Cancel) {
					cells.get(address)!.cancel(replayed.zone, message);
				}
			}, address === replayed.zone ? callMilliseconds : peerMilliseconds);
		},
		successorWaitMilliseconds: 1300,
		lastHeardFrom: () => performance.now(),
		runsEndAt: () => performance.now(),
		onDecision() {
			// Only the answers count here.
		},
	});

	const runJob = async (replayed: ReplayedJob): Promise<void> => {
		const result = results.get(replayed.queue.name)!;
		const beganAt = performance.now();
		const {end} = await holdJob(replayed.job, queueOf(replayed.queue), holdOptions(replayed));
		const age = performance.now() - beganAt;
		const objective = (objectiveFactor * replayed.longestTaskMilliseconds) + objectiveMilliseconds;
		if (end === JobEnd.Refused) {
			result.refused++;
		} else if (end === JobEnd.Complete && age <= objective) {
			result.inTime++;
		} else if (end === JobEnd.Complete && age <= deadlineObjectives * objective) {
			result.late++;
		}
	};

	const otherCells = (own: string) => load.zones.filter(zone => zone !== own && announcedLoads.has(zone)).map(zone => {
		const recent = (sent.get(zone) ?? []).filter(({at}) => at > (receivedAt.get(zone) ?? 0));
		sent.set(zone, recent);
		const processor = recent.reduce((sum, one) => sum + one.processor, 0);
		const cellLoad = announcedLoads.get(zone)!;
		return {cell: zone, free: subtractSentProcessor(cellLoad.free, processor), waitMilliseconds: cellLoad.backlogMilliseconds};
	});

	for (const [zoneIndex, zone] of load.zones.entries()) {
		const cell = createCell({
			name: zone,
			token: () => 1,
			holdMaximumMilliseconds: 1000,
			unconfirmedRunMilliseconds: 1300,
			remotePenalty: 3,
			lastConfirmedBy: () => performance.now(),
			requestConfirmation() {
				// The confirmations of holders are set above.
			},
			kindFactors: () => ({}),
			createCalls(entry) {
				const [kind] = entry.labels;
				return createSimulatedEndpoint(entry.room.processor, kinds.find(({label}) => label === kind)!.speed);
			},
			notify(holder, update) {
				setTimeout(() => {
					heldJobs.deliver(zone, update);
				}, holder === zone ? callMilliseconds : peerMilliseconds);
			},
			otherCells: () => otherCells(zone),
			onRedirected(other, processor) {
				sent.set(other, [...sent.get(other) ?? [], {at: performance.now(), processor}]);
			},
			onFenced() {
				throw new Error('a simulated endpoint has one owner');
			},
			onDecision() {
				// Decisions are visible in the results.
			},
			onTaskWait() {
				// Waits are visible in the results.
			},
		});
		cells.set(zone, cell);
		cell.install(Array.from({length: load.endpointsInZone}, (_, index): EndpointEntry => {
			const kind = kinds[(index + (zoneIndex * load.endpointsInZone)) % kinds.length]!;
			return {
				identifier: `i-${zone}-${index}`, startedAt: 1, service: 'sheets', address: '', zone, isDraining: false,
				room: {processor: kind.processor, memoryMegabytes: 32_768, accelerators: 0}, labels: [kind.label, 'r1'],
			};
		}));
	}

	const lastAnnounced = new Map<string, string>();
	const timer = setInterval(() => {
		for (const [zone, cell] of cells) {
			const cellLoad = cell.load();
			const text = JSON.stringify(cellLoad);
			if (text !== lastAnnounced.get(zone)) {
				lastAnnounced.set(zone, text);
				setTimeout(() => {
					announcedLoads.set(zone, cellLoad);
					receivedAt.set(zone, performance.now());
				}, peerMilliseconds);
			}
		}
	}, 10);

	for (const replayed of jobs) {
		setTimeout(() => {
			results.get(replayed.queue.name)!.submitted++;
			void runJob(replayed);
		}, replayed.arrivesAt);
	}

	await clock.tickAsync((load.seconds + 5) * 1000);
	clearInterval(timer);
	for (const cell of cells.values()) {
		cell.close();
	}

	return [...results.values()];
};
