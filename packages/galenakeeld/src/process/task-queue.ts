import type {Fault} from '@galenakeel/model/request/fault.js';
import type {Queue, QueueAddOptions} from 'p-queue';

/**
Length class of a task, relative to the other tasks of its service.
*/
export enum TaskLength {
	/** May use any slot. */
	Short = 'short',
	/** May use only the slots allowed for long tasks. */
	Long = 'long',
}

/**
The properties of a waiting task that the queue uses.
*/
export type WaitingTask = {
	readonly kind: string;
	readonly team: string;
	readonly length: TaskLength;
	/** Expected run time at speed 1, in milliseconds. */
	readonly workMilliseconds: number;
	/** Time on the monotonic clock at which the task was queued, in milliseconds. */
	readonly arrivedAt: number;
	/** Time on the monotonic clock after which the task is not started, in milliseconds. */
	readonly deadlineAt: number;
	readonly signal?: AbortSignal;
	/** Address of the endpoint where an earlier attempt failed. */
	readonly avoidedEndpoint?: string;
	/** Rejects the task, which has not started, with the reason. */
	readonly abandon: (fault: Fault) => void;
};

/**
Options for adding a task to the queue.
*/
export type WaitingTaskOptions = QueueAddOptions & {readonly task: WaitingTask};

/**
A task in the queue, with the function that starts it.
*/
export type WaitingItem = {readonly start: StartFunction; readonly task: WaitingTask};

type StartFunction = () => Promise<unknown>;

/**
The queue from which `p-queue` takes its tasks.
*/
export type TaskQueue = Queue<StartFunction, WaitingTaskOptions>;

/**
The waiting tasks of one service, in the order in which they start.
*/
export type WaitingOrder = {
	readonly add: (item: WaitingItem) => void;
	/** Returns the next task among those that can start, without removing it. */
	readonly peek: (canStart: (task: WaitingTask) => boolean) => WaitingItem | undefined;
	/** Removes a task that `peek` returned and charges its work to its team. */
	readonly take: (item: WaitingItem) => void;
	readonly size: () => number;
	/** Number of waiting tasks of a team, of one length or of all. */
	readonly countOf: (team: string, length?: TaskLength) => number;
	/** Number of waiting tasks of a length. */
	readonly count: (length: TaskLength) => number;
	/** Expected run time at speed 1 of the waiting tasks of a length, of one team or of all, in milliseconds. */
	readonly work: (length: TaskLength, team?: string) => number;
	/** Fraction of the slots to which a team is entitled among the teams that wait now, from 0 to 1. */
	readonly shareOf: (team: string) => number;
	/** Corrects the usage charged to a team by the measured work minus the expected work. */
	readonly correctUsage: (team: string, differenceMilliseconds: number) => void;
	/** Removes and returns the tasks that match a predicate. */
	readonly remove: (isRemoved: (task: WaitingTask) => boolean) => readonly WaitingItem[];
};

/**
Creates the queue class that `p-queue` uses for the tasks of one service.

@param order Holds the waiting tasks.
@param options.hasSlot Returns whether any slot is free.
@param options.canStart Returns whether a slot is free for a task.

@example
```
const queue = new PQueue({queueClass: createTaskQueueClass(order, {hasSlot, canStart})});
```
*/
export const createTaskQueueClass = (order: WaitingOrder, {hasSlot, canStart}: {hasSlot: () => boolean; canStart: (task: WaitingTask) => boolean}): new () => TaskQueue =>
	class {
		/** Number of waiting tasks; 0 while none of them can start, so that `p-queue` does not dequeue. */
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
			// `order` alone determines the order; tasks have no priority of their own.
		}
	};
