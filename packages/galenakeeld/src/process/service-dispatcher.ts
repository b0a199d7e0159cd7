import {performance} from 'node:perf_hooks';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import PQueue from 'p-queue';
import type {ServiceVersion} from '../version/service-version.js';
import type {ChooseEndpoint, SlotGrant, SlotLedger} from './slot-ledger.js';
import {
	createTaskQueueClass, type TaskQueue, type WaitingOrder, type WaitingTask, type WaitingTaskOptions,
} from './task-queue.js';

/**
What a task asks of a dispatcher.
*/
export type SlotDemand = Omit<WaitingTask, 'abandon'>;

/**
Hands the slots of one service to its waiting tasks.
*/
export type ServiceDispatcher = {
	readonly ledger: SlotLedger;
	/**
	Waits for a slot, uses it, and gives it back.

	@throws A fault of kind `DeadlinePassed` or `Cancelled` when the task was taken out of the queue, or whatever `use` throws.
	*/
	readonly withSlot: <Result>(demand: SlotDemand, use: (grant: SlotGrant) => Promise<Result>) => Promise<Result>;
	/** Starts waiting tasks for which a slot has become free. */
	readonly startNext: () => void;
	/** Takes tasks out of the queue whose deadline has passed or whose caller has gone. */
	readonly sweep: () => void;
	readonly waiting: () => number;
	/** Expected time until a task that arrives now would start, in milliseconds. */
	readonly expectedWaitMilliseconds: () => number;
	/** The version under which slots are owned at present. */
	version: ServiceVersion;
};

const reasonToAbandon = (task: WaitingTask, now: number): FaultKind | undefined => {
	if (task.signal?.aborted) {
		return FaultKind.Cancelled;
	}

	return now >= task.deadlineAt ? FaultKind.DeadlinePassed : undefined;
};

/**
Creates the dispatcher of one service.

@param options.choose Chooses the endpoint of the next task.
@param options.order Holds the waiting tasks.
@param options.meanRunMilliseconds Mean run time of the service's tasks, for the expected wait.

@example
```
const answer = await dispatcher.withSlot(demand, async grant => send(grant.endpoint));
```
*/
export const createServiceDispatcher = (options: {
	version: ServiceVersion;
	ledger: SlotLedger;
	order: WaitingOrder;
	choose: ChooseEndpoint;
	canChoose: (kind: string) => boolean;
	meanRunMilliseconds: () => number;
}): ServiceDispatcher => {
	const {ledger, order, choose} = options;
	const queue = new PQueue<TaskQueue, WaitingTaskOptions>({
		queueClass: createTaskQueueClass(order, task => options.canChoose(task.kind)),
	});

	const startNext = (): void => {
		// Setting the concurrency makes `p-queue` look at its queue again.
		queue.concurrency = Infinity;
	};

	return {
		version: options.version,
		ledger,
		async withSlot(demand, use) {
			type Result = Awaited<ReturnType<typeof use>>;
			const result = createDeferred<Result>();
			const run = async (): Promise<void> => {
				const grant = ledger.take(choose, demand.kind);
				if (!grant) {
					result.reject(createFault(FaultKind.NoEndpoint, `no endpoint of "${options.version.document.service}" has a free slot`));
					return;
				}

				try {
					result.resolve(await use(grant));
				} catch (error) {
					result.reject(error);
				} finally {
					grant.release();
				}
			};

			void queue.add(run, {task: {...demand, abandon: result.reject}});
			return result.promise;
		},
		startNext,
		sweep() {
			if (order.size() === 0) {
				return;
			}

			const now = performance.now();
			for (const {task} of order.remove(task => reasonToAbandon(task, now) !== undefined)) {
				const kind = reasonToAbandon(task, now) ?? FaultKind.DeadlinePassed;
				task.abandon(createFault(kind, kind === FaultKind.Cancelled ? 'the submission was cancelled before the task started' : 'the deadline passed before the task started'));
			}
		},
		waiting: () => order.size(),
		expectedWaitMilliseconds() {
			const usable = ledger.usable();
			return usable === 0 ? 0 : (order.size() * options.meanRunMilliseconds()) / usable;
		},
	};
};
