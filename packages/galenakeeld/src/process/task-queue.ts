import type {Fault} from '@galenakeel/model/request/fault.js';
import type {Queue, QueueAddOptions} from 'p-queue';

/**
Whether a task counts as long in its service.
*/
export enum TaskLength {
	/** May use any slot. */
	Short = 'short',
	/** May use only the share of long tasks. */
	Long = 'long',
}

/**
What the queue needs to know of a waiting task.
*/
export type WaitingTask = {
	readonly kind: string;
	readonly team: string;
	readonly length: TaskLength;
	/** Expected run time at speed 1, in milliseconds. */
	readonly workMilliseconds: number;
	/** Time on the monotonic clock at which the task began to wait, in milliseconds. */
	readonly arrivedAt: number;
	/** Time on the monotonic clock after which the task is not worth starting, in milliseconds. */
	readonly deadlineAt: number;
	readonly signal?: AbortSignal;
	/** Address of the endpoint where an earlier attempt failed. */
	readonly avoidedEndpoint?: string;
	/** Takes the task out of the queue with a reason; it has not started. */
	readonly abandon: (fault: Fault) => void;
};

/**
Options under which a task is added to the queue.
*/
export type WaitingTaskOptions = QueueAddOptions & {readonly task: WaitingTask};

/**
A task in the queue, with the function that starts it.
*/
export type WaitingItem = {readonly start: StartFunction; readonly task: WaitingTask};

type StartFunction = () => Promise<unknown>;

/**
The queue that `p-queue` takes its tasks from.
*/
export type TaskQueue = Queue<StartFunction, WaitingTaskOptions>;

/**
The waiting tasks of one service, in the order in which they are to start.
*/
export type WaitingOrder = {
	readonly add: (item: WaitingItem) => void;
	/** Finds the task that would start next among those that can. */
	readonly peek: (canStart: (task: WaitingTask) => boolean) => WaitingItem | undefined;
	/** Removes a task that `peek` returned. */
	readonly take: (item: WaitingItem) => void;
	readonly size: () => number;
	/** Waiting tasks of a team, of one length or of all. */
	readonly countOf: (team: string, length?: TaskLength) => number;
	/** Waiting tasks of a length. */
	readonly count: (length: TaskLength) => number;
	/** Expected run time of the waiting tasks of a length at speed 1, in milliseconds; of one team or of all. */
	readonly work: (length: TaskLength, team?: string) => number;
	/** Share of the slots that a team is due while the teams that wait now do, from 0 to 1. */
	readonly shareOf: (team: string) => number;
	/** Corrects what a team has used by the difference between expected and measured work. */
	readonly correctUsage: (team: string, differenceMilliseconds: number) => void;
	/** Removes the tasks that a predicate selects, and returns them. */
	readonly remove: (isRemoved: (task: WaitingTask) => boolean) => readonly WaitingItem[];
};

/**
Creates the queue class that `p-queue` uses for the tasks of one service.

@param order Holds the waiting tasks.
@param options.hasSlot Tells whether any slot is free.
@param options.canStart Tells whether a slot is free for a task.

@example
```
const queue = new PQueue({queueClass: createTaskQueueClass(order, {hasSlot, canStart})});
```
*/
export const createTaskQueueClass = (order: WaitingOrder, {hasSlot, canStart}: {hasSlot: () => boolean; canStart: (task: WaitingTask) => boolean}): new () => TaskQueue =>
	class {
		/** Number of waiting tasks; 0 while none of them can start, so that `p-queue` waits. */
		get size(): number {
			return order.size() > 0 && hasSlot() && order.peek(canStart) ? order.size() : 0;
		}

		enqueue(start: StartFunction, options?: Partial<WaitingTaskOptions>): void {
			order.add({start, task: options!.task!});
		}

		dequeue(): StartFunction | undefined {
			const next = order.peek(canStart);
			if (next) {
				order.take(next);
			}

			return next?.start;
		}

		filter(): StartFunction[] {
			return [];
		}

		setPriority(): void {
			// The order is that of `order`; a task has no priority of its own.
		}
	};
