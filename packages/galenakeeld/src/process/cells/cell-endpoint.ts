import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	type ActiveRun, type EndedRun, type EndpointCalls, type EndpointReport, type LookReply, OrderOutcome, type OrderReply, RunEnd,
} from '@galenakeel/model/connection/endpoint-calls.js';
import type {Room} from '@galenakeel/model/request/job.js';
import type {TaskKey} from '@galenakeel/model/request/task-key.js';
import {lifeOf, type EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import {createEndpointContact} from './endpoint-contact.js';
import {EndpointDecision} from './endpoint-decision.js';
import {
	HealthEvent, HealthState, healthAt, newEndpointHealth, updateHealth,
} from './endpoint-health.js';
import {
	createRun, isRunOf, overdueFactorOf, remainingTimesOf, RunResult, RunState, type Run, type RunRequest,
} from './endpoint-run.js';
import {createEndpointLeases} from './endpoint-leases.js';
import {longestLeaseOf, yieldMilliseconds} from './longest-lease.js';
import type {EndpointCapacity} from './place-tasks.js';
import {addResources, subtractResources} from './room.js';
import {createStrayRuns} from './stray-runs.js';

/**
An endpoint that this daemon gives orders to.
*/
export type CellEndpoint = {
	readonly entry: () => EndpointEntry;
	/** Takes a newer entry of the same life. */
	readonly update: (entry: EndpointEntry) => void;
	/** Room for tasks now; undefined while the endpoint takes none. */
	readonly openRoom: (factor: number) => EndpointCapacity | undefined;
	/** Whether a look has shown what runs there, or nothing of an earlier owner can run any more. */
	readonly isKnown: () => boolean;
	/** Whether its first answer is still to come. */
	readonly isAwaited: () => boolean;
	/** Starts a task and waits for its end. */
	readonly start: (request: RunRequest) => Promise<RunResult>;
	/** Takes a run of an earlier owner over; undefined if there is none. */
	readonly adopt: (task: TaskKey, room: Room, estimateMilliseconds: number) => {readonly ended: Promise<RunResult>} | undefined;
	/** Stops the runs of the tasks that a test holds for. */
	readonly stopRuns: (isStopped: (task: TaskKey) => boolean) => void;
	/** Looks at the endpoint until it is closed. */
	readonly run: () => Promise<void>;
	/** Gives no further orders; all runs count as lost for this owner. */
	readonly close: () => void;
	readonly isIdle: () => boolean;
	/** Ratio of elapsed time to estimate that all its active runs have passed; 0 when idle. */
	readonly overdueFactor: () => number;
};

/**
What an endpoint asks of its cell.
*/
export type CellEndpointOptions = {
	readonly calls: EndpointCalls;
	readonly holdMaximumMilliseconds: number;
	readonly token: () => number;
	/** Steady milliseconds since when the token is in force. */
	readonly ownedSince: () => number;
	/** Whether runs of an earlier owner that nobody has claimed may be stopped. */
	readonly isSettled: () => boolean;
	/** Called after each change of room. */
	readonly onChange: () => void;
	readonly onFenced: () => void;
	/** Called when a look shows runs that this owner has not started. */
	readonly onStrays: () => void;
	readonly onDecision: (decision: EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;
	/** Called for each run that succeeded. */
	readonly onRunTime: (estimateMilliseconds: number, runMilliseconds: number) => void;
};

/** Longest wait of a look at runs, so that one without an answer hides their ends for a short time only. */
const busyWaitMilliseconds = 150;
/** Starts without an answer at the same time after which an endpoint gets no more. */
const mostDoubts = 2;
/** A run that starts behind an idle look has its lease extended by the next one. */
const idleWaitMilliseconds = 500;
/** Wait while an end that may not come is awaited. */
const briefWaitMilliseconds = 20;
const retryMilliseconds = 40;
/** Time without an answer after which a start is looked for; an answer takes a few milliseconds. */
const doubtMilliseconds = 50;
/** Age from which the reported use of processor tells whether a run stands still. */
const stallAgeMilliseconds = 700;
const restAfterNoRoomMilliseconds = 60;
const unboundedTasks = Number.POSITIVE_INFINITY;

/**
Creates the orders to one life of an endpoint.

@example
```
const endpoint = createCellEndpoint(entry, options);
void endpoint.run();
const result = await endpoint.start(request);
```
*/
export const createCellEndpoint = (firstEntry: EndpointEntry, options: CellEndpointOptions): CellEndpoint => {
	const {calls, onDecision} = options;
	const leases = createEndpointLeases(options.holdMaximumMilliseconds);
	const contact = createEndpointContact();
	const longestLease = longestLeaseOf(options.holdMaximumMilliseconds);
	const runs = new Set<Run>();
	const strays = createStrayRuns();
	let entry = firstEntry;
	let free = entry.room;
	let health = newEndpointHealth;
	let acknowledged = 0;
	/** Token of the last look that was answered; what lower tokens order since then is not obeyed. */
	let lookedToken = 0;
	let isClosed = false;
	let closedUntil = 0;

	const hasStrays = (): boolean => strays.active().length > 0;

	const describe = (task: TaskKey, attempt: number): Readonly<Record<string, unknown>> => ({
		job: task.job, task: `${task.step}.${task.index}`, attempt, endpoint: entry.identifier,
	});

	const noteHealth = (event: HealthEvent): void => {
		const before = healthAt(health, performance.now());
		health = updateHealth(before, event, performance.now());
		if (health.state === HealthState.Resting && before.state !== HealthState.Resting) {
			onDecision(EndpointDecision.Rested, {endpoint: entry.identifier, cause: event, failuresInRow: health.failuresInRow});
		}
	};

	const take = (run: Run): void => {
		runs.add(run);
		free = subtractResources(free, run.room);
	};

	const settle = (run: Run, result: RunResult): void => {
		if (!runs.delete(run)) {
			return;
		}

		free = addResources(free, run.room);
		run.ended.resolve(result);
		options.onChange();
	};

	const loseAll = (): void => {
		for (const run of runs) {
			settle(run, RunResult.Lost);
		}
	};

	const turnAway = (): void => {
		if (!isClosed) {
			onDecision(EndpointDecision.OtherLife, {endpoint: entry.identifier, startedAt: entry.startedAt});
		}

		isClosed = true;
		loseAll();
	};

	const isOver = (): boolean => isClosed;

	/** Whether starts have not been answered and not been found out about. One alone may be a lost answer. */
	const isDoubtful = (): boolean => [...runs].filter(({isDoubted, state}) => isDoubted && state === RunState.Ordered).length >= mostDoubts;

	const isListed = (run: Run): boolean => runs.has(run);

	/** Orders a stop until the endpoint has carried it out or the lease has ended. */
	const stopUntilVoid = async (run: Run): Promise<void> => {
		while (isListed(run) && run.state !== RunState.Stopping && !isOver()) {
			const {outcome} = await calls.stop({task: run.task, attempt: run.attempt, fencingToken: options.token()});
			if (outcome === OrderOutcome.Done) {
				run.state = RunState.Stopping;
				run.visibleAt = performance.now();
				await lookNow();
				return;
			}

			if (outcome === OrderOutcome.OtherLife) {
				turnAway();
				return;
			}

			if (outcome === OrderOutcome.Fenced) {
				options.onFenced();
			}

			if (leases.haveEnded()) {
				settle(run, RunResult.Lost);
				return;
			}

			await sleep(retryMilliseconds);
		}
	};

	/** Begins to find out what became of a start without an answer, once. */
	const doubt = (run: Run): void => {
		if (isListed(run) && run.state === RunState.Ordered && !run.isDoubted) {
			run.isDoubted = true;
			onDecision(EndpointDecision.OrderUnknown, describe(run.task, run.attempt));
			void resolveUnknown(run);
		}
	};

	const onStartReply = (run: Run, {outcome, clockMilliseconds}: OrderReply): void => {
		if (clockMilliseconds !== undefined) {
			leases.observe(clockMilliseconds);
		}

		if (!isListed(run)) {
			return;
		}

		switch (outcome) {
			case OrderOutcome.Done: {
				run.state = run.state === RunState.Ordered ? RunState.Running : run.state;
				run.visibleAt = performance.now();
				return;
			}

			case OrderOutcome.Unknown: {
				doubt(run);
				return;
			}

			case OrderOutcome.OtherLife: {
				turnAway();
				return;
			}

			case OrderOutcome.Fenced: {
				options.onFenced();
				break;
			}

			case OrderOutcome.Rejected: {
				noteHealth(HealthEvent.Declined);
				break;
			}

			case OrderOutcome.NoRoom:
			case OrderOutcome.Superseded:
			case OrderOutcome.Expired: {
				closedUntil = performance.now() + restAfterNoRoomMilliseconds;
				setTimeout(options.onChange, restAfterNoRoomMilliseconds);
				break;
			}
		}

		onDecision(EndpointDecision.Declined, {...describe(run.task, run.attempt), outcome});
		settle(run, RunResult.Declined);
	};

	const order = async (run: Run, specification: string): Promise<void> => {
		const lease = leases.next();
		if (lease === undefined) {
			settle(run, RunResult.Declined);
			return;
		}

		const timer = setTimeout(() => {
			doubt(run);
		}, doubtMilliseconds);
		onStartReply(run, await calls.start({
			task: run.task, attempt: run.attempt, specification, leaseEndMilliseconds: lease, fencingToken: options.token(),
		}));
		clearTimeout(timer);
	};

	const onEnded = (ended: EndedRun): void => {
		acknowledged = Math.max(acknowledged, ended.sequence);
		const run = [...runs].find(one => isRunOf(one, ended));
		if (!run) {
			strays.noteEnd(ended);
			return;
		}

		const milliseconds = performance.now() - run.orderedAt;
		if (ended.end === RunEnd.Succeeded) {
			noteHealth(HealthEvent.Succeeded);
			options.onRunTime(run.estimateMilliseconds, milliseconds);
			settle(run, RunResult.Succeeded);
		} else if (ended.end === RunEnd.Failed) {
			noteHealth(HealthEvent.Failed);
			settle(run, RunResult.Failed);
		} else {
			settle(run, RunResult.Lost);
		}
	};

	const stopStalled = (run: Run, active: ActiveRun): void => {
		const age = performance.now() - run.orderedAt;
		if (active.processorInUse !== 0 || age < stallAgeMilliseconds || run.state !== RunState.Running) {
			return;
		}

		onDecision(EndpointDecision.RunStalled, {...describe(run.task, run.attempt), ageMilliseconds: Math.round(age)});
		noteHealth(HealthEvent.Stalled);
		void stopUntilVoid(run);
	};

	const stopStray = async ({task, attempt}: ActiveRun): Promise<void> => {
		onDecision(EndpointDecision.StrayStopped, describe(task, attempt));
		await calls.stop({task, attempt, fencingToken: options.token()});
	};

	const compareRuns = (active: readonly ActiveRun[], lookedAt: number): void => {
		for (const run of runs) {
			const shown = active.find(one => isRunOf(run, one));
			if (shown) {
				if (run.state === RunState.Ordered) {
					run.state = RunState.Running;
					run.visibleAt = performance.now();
				}

				stopStalled(run, shown);
			} else if (run.state !== RunState.Ordered && run.visibleAt < lookedAt) {
				if (run.state === RunState.Running) {
					onDecision(EndpointDecision.RunLost, describe(run.task, run.attempt));
				}

				settle(run, RunResult.Lost);
			}
		}

		strays.install(active.filter(one => ![...runs].some(run => isRunOf(run, one))));
	};

	const onReport = (report: EndpointReport, lookedAt: number): void => {
		const wasClosed = !contact.isReached() || hasStrays();
		leases.observe(report.clockMilliseconds);
		if (contact.isSilent()) {
			onDecision(EndpointDecision.Regained, {endpoint: entry.identifier});
		}

		contact.noteAnswer();
		for (const ended of report.ended) {
			onEnded(ended);
		}

		compareRuns(report.active, lookedAt);
		if (hasStrays()) {
			options.onStrays();
		}

		if (options.isSettled()) {
			for (const stray of strays.active()) {
				void stopStray(stray);
			}
		}

		if (wasClosed) {
			options.onChange();
		}
	};

	const onNoReport = (outcome: OrderOutcome): void => {
		if (outcome === OrderOutcome.OtherLife) {
			turnAway();
		} else if (outcome === OrderOutcome.Fenced) {
			options.onFenced();
		}

		const wasSilent = contact.isSilent();
		contact.noteMiss(outcome === OrderOutcome.Unknown);
		if (!contact.isSilent()) {
			return;
		}

		if (!wasSilent) {
			onDecision(EndpointDecision.Silent, {endpoint: entry.identifier, outcome, runs: runs.size});
		}

		if (leases.haveEnded()) {
			loseAll();
		}
	};

	const waitOfLook = (): number => {
		if (!contact.hasLooked() || contact.hasMissed()) {
			return 0;
		}

		if (hasStrays() || [...runs].some(({state}) => state === RunState.Stopping)) {
			return briefWaitMilliseconds;
		}

		return runs.size > 0 ? busyWaitMilliseconds : idleWaitMilliseconds;
	};

	const look = async (waitMilliseconds: number): Promise<LookReply> => {
		// A lease that is not known to be extended must end, so that its runs count as lost.
		const isExtending = runs.size > 0 && options.isSettled() && !contact.isSilent();
		const lease = isExtending ? leases.next() : undefined;
		return calls.look({
			fencingToken: options.token(),
			acknowledged,
			waitMilliseconds,
			...(lease !== undefined && {leaseEndMilliseconds: lease}),
		});
	};

	/** Looks beside the look that waits for an end. */
	async function lookNow(): Promise<void> {
		const lookedAt = performance.now();
		const {report} = await look(0);
		if (report && !isOver()) {
			onReport(report, lookedAt);
		}
	}

	/** A start without an answer goes on if a look shows the run; else it is made void. */
	async function resolveUnknown(run: Run): Promise<void> {
		await lookNow();
		if (run.state === RunState.Ordered) {
			await stopUntilVoid(run);
		}
	}

	return {
		entry: () => entry,
		update(newer) {
			entry = newer;
		},
		openRoom(factor) {
			const now = performance.now();
			const {state} = healthAt(health, now);
			const isReached = contact.isReached() && !isClosed && !isDoubtful();
			const isWilling = !entry.isDraining && now >= closedUntil && state !== HealthState.Resting;
			if (!isReached || !isWilling || hasStrays()) {
				return undefined;
			}

			return {
				endpoint: lifeOf(entry),
				service: entry.service,
				free,
				total: entry.room,
				labels: entry.labels,
				factor,
				maximumTasks: state === HealthState.Probing ? Math.max(0, 1 - runs.size) : unboundedTasks,
				remainingTimes: () => remainingTimesOf(runs, factor),
				countOf: (job, step) => [...runs].filter(({task}) => task.job === job && task.step === step).length,
			};
		},
		isKnown() {
			const isSeen = lookedToken === options.token() && !contact.isSilent() && !hasStrays();
			return isSeen || isClosed || performance.now() > options.ownedSince() + longestLease + yieldMilliseconds;
		},
		isAwaited: () => contact.isAwaited() && !isClosed,
		async start(request) {
			const run = createRun(request, RunState.Ordered);
			take(run);
			void order(run, request.specification);
			return run.ended.promise;
		},
		adopt(task, room, estimateMilliseconds) {
			if (strays.hasSucceeded(task)) {
				return {ended: Promise.resolve(RunResult.Succeeded)};
			}

			const stray = strays.take(task);
			if (!stray) {
				return undefined;
			}

			const run = createRun({
				task, attempt: stray.attempt, room, estimateMilliseconds,
			}, RunState.Running);
			take(run);
			return {ended: run.ended.promise};
		},
		stopRuns(isStopped) {
			for (const run of runs) {
				if (isStopped(run.task)) {
					void stopUntilVoid(run);
				}
			}
		},
		async run() {
			while (!isOver()) {
				const lookedAt = performance.now();
				const token = options.token();
				const {outcome, report} = await look(waitOfLook());
				if (isClosed) {
					break;
				}

				if (report) {
					lookedToken = token;
					onReport(report, lookedAt);
				} else {
					onNoReport(outcome);
					if (contact.isPausing()) {
						await sleep(retryMilliseconds);
					}
				}
			}

			calls.close();
		},
		close() {
			isClosed = true;
			loseAll();
		},
		isIdle: () => runs.size === 0,
		overdueFactor: () => overdueFactorOf(runs),
	};
};
