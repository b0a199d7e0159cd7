import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import PQueue from 'p-queue';
import type {ServiceVersion} from '../version/service-version.js';
import type {AdmissionLoad} from './admission.js';
import {createLongTaskShare, isLongRun} from './long-task-share.js';
import type {SlotRequest} from './lent-slots.js';
import {expectedSlotsOf, measureSlotCapacity, type SlotCapacity} from './slot-capacity.js';
import {createSlotDemand} from './slot-demand.js';
import {isMeasured, type RunEstimates} from './run-estimates.js';
import type {RunningTasks} from './running-tasks.js';
import {
	type ChooseEndpoint, type EndpointSlots, type SlotGrant, type SlotLedger,
} from './slot-ledger.js';
import {createStandingQueueDetector} from './standing-queue-detector.js';
import {
	createTaskQueueClass, TaskLength, type TaskQueue, type WaitingOrder, type WaitingTask, type WaitingTaskOptions,
} from './task-queue.js';
import {createQuotaReserve, type QuotaReserve} from './quota-reserve.js';
import type {TeamLoads} from './team-loads.js';

/** Multiple of the 90th percentile of its kind after which a running task counts as long. */
const overrunFactor = 2;

/**
The properties of a task that determine when and where it runs.
*/
export type TaskRequirements = Pick<WaitingTask, 'kind' | 'team' | 'deadlineAt' | 'signal' | 'avoidedEndpoint'>;

/**
Assigns the slots of one service to its waiting tasks.
*/
export type ServiceDispatcher = {
	readonly ledger: SlotLedger;
	/**
	Waits for a slot, calls `use` with it, and releases it afterwards.

	@throws A fault of kind `DeadlinePassed` or `Cancelled` if the task was removed from the queue, or the error that `use` throws.
	*/
	readonly withSlot: <Result>(requirements: TaskRequirements, use: (grant: SlotGrant) => Promise<Result>) => Promise<Result>;
	/** Starts waiting tasks for which a slot is free. */
	readonly startNext: () => void;
	/** Removes waiting tasks whose deadline has passed or that were cancelled, and updates the load estimates; called at a fixed interval. */
	readonly sweep: () => void;
	/** Number of waiting tasks. */
	readonly waiting: () => number;
	/** Number of tasks that have received a slot since the dispatcher was created. */
	readonly started: () => number;
	/** Reserves slots for teams within their quota. */
	readonly quotas: QuotaReserve;
	/** Number of waiting tasks of teams within their quota. */
	readonly waitingWithinQuota: () => number;
	/** Number of slots missing for waiting and expected tasks. */
	readonly shortfall: () => SlotRequest;
	/** Number of free slots beyond those needed for expected tasks. */
	readonly surplus: () => number;
	/** Number of free slots beyond those needed for teams within their quota and for the quota of the other teams. */
	readonly surplusWithinQuota: () => number;
	/** The load that the admission of a request considers, for a team and the kind of its tasks. */
	readonly loadFor: (team: string, kind: string) => AdmissionLoad;
	/** The installed version of the service, by which slots are owned. */
	version: ServiceVersion;
};

const reasonToAbandon = (task: WaitingTask, now: number): FaultKind | undefined => {
	if (task.signal?.aborted) {
		return FaultKind.Cancelled;
	}

	return now >= task.deadlineAt ? FaultKind.DeadlinePassed : undefined;
};

const abandon = (task: WaitingTask, kind: FaultKind): void => {
	task.abandon(createFault(kind, kind === FaultKind.Cancelled ? 'the submission was cancelled before the task started' : 'the deadline passed before the task started'));
};

/**
Creates the dispatcher of one service.

@param options.choose Chooses the endpoint of the next task.
@param options.hasShares Whether a task needs a free slot of this instance; otherwise any available endpoint is enough.
@param options.order Stores the waiting tasks and determines their order.
@param options.loads Determines which teams are over their quota.
@param options.onShortage Called when a task is queued and tasks are waiting for a slot.

@example
```
const answer = await dispatcher.withSlot(requirements, async grant => send(grant.endpoint));
```
*/
export const createServiceDispatcher = (options: {
	version: ServiceVersion;
	ledger: SlotLedger;
	order: WaitingOrder;
	running: RunningTasks;
	loads: TeamLoads;
	estimates: RunEstimates;
	choose: ChooseEndpoint;
	hasShares: boolean;
	onShortage: () => void;
}): ServiceDispatcher => {
	const {ledger, order, running, estimates, loads} = options;
	const share = createLongTaskShare();
	const demand = createSlotDemand();
	const quotas = createQuotaReserve({ledger, order, loads});
	let chosen: {readonly task: WaitingTask; readonly revision: number; readonly slots: EndpointSlots | undefined} | undefined;
	const standingQueues = {[TaskLength.Short]: createStandingQueueDetector(performance.now()), [TaskLength.Long]: createStandingQueueDetector(performance.now())};
	let capacity: SlotCapacity | undefined;
	let started = 0;

	const remainingLongSlots = (): number => options.hasShares ? share.limit(ledger.usable()) - running.long() : Infinity;

	const hasSlot = (): boolean => options.hasShares ? ledger.free() > 0 : [...ledger.all()].some(slots => slots.isOpen);

	const choose = (task: WaitingTask): EndpointSlots | undefined => {
		if (chosen?.task !== task || chosen.revision !== ledger.revision()) {
			chosen = {task, revision: ledger.revision(), slots: options.choose(options.hasShares ? ledger.inUse() : ledger.all(), task)};
		}

		return chosen.slots;
	};

	const canStart = (task: WaitingTask): boolean =>
		(task.length === TaskLength.Short || remainingLongSlots() > 0) && (!options.hasShares || quotas.mayStart(task.team)) && choose(task) !== undefined;

	const queue = new PQueue<TaskQueue, WaitingTaskOptions>({
		queueClass: createTaskQueueClass(order, {hasSlot, canStart}),
	});

	const lengthOf = (kind: string): TaskLength =>
		isLongRun(estimates.ofKind(kind), estimates.ofService()) ? TaskLength.Long : TaskLength.Short;

	const runOn = async <Result>(task: WaitingTask, slots: EndpointSlots, use: (grant: SlotGrant) => Promise<Result>): Promise<Result> => {
		const startedAt = performance.now();
		const speed = estimates.speed(slots.endpoint.address, slots.endpoint.speed);
		const estimate = estimates.ofKind(task.kind);
		const remove = running.add({
			slots,
			startedAt,
			overrunAt: startedAt + (estimate.percentile90 * overrunFactor / speed),
			// A declared run time is too uncertain to conclude that an endpoint is frozen.
			maximumExpectedMilliseconds: isMeasured(estimate) ? estimate.percentile99 / speed : Infinity,
			length: task.length,
		});
		const grant = ledger.acquire(slots);
		const end = quotas.start(task.team);
		started++;
		try {
			return await use(grant);
		} finally {
			remove();
			end();
			order.correctUsage(task.team, ((performance.now() - startedAt) * speed) - task.workMilliseconds);
			grant.release();
		}
	};

	/** Cached until the next sweep. */
	const currentCapacity = (): SlotCapacity => {
		capacity ??= measureSlotCapacity(ledger.inUse(), ({endpoint}) => estimates.speed(endpoint.address, endpoint.speed));
		return capacity;
	};

	const surplus = (): number => order.size() > 0 ? 0 : Math.max(0, Math.min(ledger.free(), Math.floor(ledger.usable() - demand.target())));

	/** Work per millisecond, in milliseconds at speed 1, of the slots that tasks of a length may use. */
	const capacityFor = (length: TaskLength): number => {
		const current = currentCapacity();
		const slots = expectedSlotsOf(current, standingQueues[length].isStanding(performance.now()));
		return Math.max(1, length === TaskLength.Short ? slots - running.long() : share.limit(slots)) * current.meanSpeed;
	};

	/** Observes short and long tasks separately: the wait of long tasks for their share of the slots does not indicate a delay of short ones. */
	const observeQueues = (now: number, {document}: ServiceVersion): void => {
		for (const length of [TaskLength.Short, TaskLength.Long]) {
			standingQueues[length].observe(order.work(length) / capacityFor(length), document.maximumQueueMilliseconds, now);
		}
	};

	const dispatcher: ServiceDispatcher = {
		version: options.version,
		ledger,
		async withSlot(requirements, use) {
			type Result = Awaited<ReturnType<typeof use>>;
			const result = createDeferred<Result>();
			const task: WaitingTask = {
				...requirements,
				length: lengthOf(requirements.kind),
				workMilliseconds: estimates.ofKind(requirements.kind).typical,
				arrivedAt: performance.now(),
				abandon: result.reject,
			};
			const run = async (): Promise<void> => {
				try {
					result.resolve(await runOn(task, choose(task)!, use));
				} catch (error) {
					result.reject(error);
				}
			};

			void queue.add(run, {task});
			if (order.size() > 0) {
				options.onShortage();
			}

			return result.promise;
		},
		startNext() {
			// Setting the concurrency makes `p-queue` process its queue again.
			queue.concurrency = Infinity;
		},
		sweep() {
			const now = performance.now();
			capacity = undefined;
			running.markOverruns(now);
			for (const {task} of order.remove(task => reasonToAbandon(task, now) !== undefined)) {
				abandon(task, reasonToAbandon(task, now) ?? FaultKind.DeadlinePassed);
			}

			observeQueues(now, dispatcher.version);

			// Teams over their quota may have any number of waiting tasks, so only those within the quota count as demand.
			share.observe(running.short() + quotas.waitingWithinQuota(TaskLength.Short));
			demand.observe(ledger.busy() + order.size());
			quotas.sweep(capacityFor(TaskLength.Short), dispatcher.version.document.maximumQueueMilliseconds);
		},
		quotas,
		waiting: () => order.size(),
		waitingWithinQuota: () => quotas.waitingWithinQuota(),
		started: () => started,
		shortfall() {
			const waiting = ledger.free() > 0 ? 0 : order.count(TaskLength.Short) + Math.max(0, Math.min(order.count(TaskLength.Long), remainingLongSlots()));
			const withinQuota = quotas.shortfall();
			return {count: Math.max(waiting, Math.ceil(demand.target() - ledger.usable()), withinQuota), withinQuota};
		},
		surplus,
		surplusWithinQuota: () => Math.max(surplus(), quotas.surplus()),
		loadFor(team, kind) {
			const length = lengthOf(kind);
			return {
				free: Math.min(ledger.free(), length === TaskLength.Short ? Infinity : Math.max(0, remainingLongSlots())),
				capacity: capacityFor(length),
				waitingWork: order.work(length),
				teamWork: order.work(length, team),
				teamShare: order.shareOf(team),
				isStanding: standingQueues[length].isStanding(performance.now()),
			};
		},
	};
	return dispatcher;
};
