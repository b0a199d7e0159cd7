import type {Fault} from '@galenakeel/model/request/fault.js';
import type {Queue, QueueAddOptions} from 'p-queue';

/**
What the queue needs to know of a waiting task.
*/
export type WaitingTask = {
	readonly kind: string;
	readonly team: string;
	/** Time on the monotonic clock after which the task is not worth starting, in milliseconds. */
	readonly deadlineAt: number;
	readonly signal?: AbortSignal;
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
	/** Looks at the task that would start next. */
	readonly peek: () => WaitingItem | undefined;
	readonly shift: () => WaitingItem | undefined;
	readonly size: () => number;
	/** Removes the tasks that a predicate selects, and returns them. */
	readonly remove: (isRemoved: (task: WaitingTask) => boolean) => readonly WaitingItem[];
};

/**
Creates an order by arrival.
*/
export const createArrivalOrder = (): WaitingOrder => {
	let waiting: WaitingItem[] = [];
	return {
		add(item) {
			waiting.push(item);
		},
		peek: () => waiting[0],
		shift: () => waiting.shift(),
		size: () => waiting.length,
		remove(isRemoved) {
			const removed = waiting.filter(item => isRemoved(item.task));
			waiting = waiting.filter(item => !isRemoved(item.task));
			return removed;
		},
	};
};

/**
Creates the queue class that `p-queue` uses for the tasks of one service.

@param order Holds the waiting tasks.
@param canStart Tells whether a slot is free for a task.

@example
```
const order = createArrivalOrder();
const queue = new PQueue({queueClass: createTaskQueueClass(order, task => ledger.free() > 0)});
```
*/
export const createTaskQueueClass = (order: WaitingOrder, canStart: (task: WaitingTask) => boolean): new () => TaskQueue =>
	class {
		/** Number of waiting tasks; 0 while none of them can start, so that `p-queue` waits. */
		get size(): number {
			const next = order.peek();
			return next && canStart(next.task) ? order.size() : 0;
		}

		enqueue(start: StartFunction, options?: Partial<WaitingTaskOptions>): void {
			order.add({start, task: options!.task!});
		}

		dequeue(): StartFunction | undefined {
			return order.shift()?.start;
		}

		filter(): StartFunction[] {
			return [];
		}

		setPriority(): void {
			// The order is that of `order`; a task has no priority of its own.
		}
	};
