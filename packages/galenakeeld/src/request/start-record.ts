import {performance} from 'node:perf_hooks';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';

/**
Records whether a task has started. A start is recorded before the first byte of the task leaves the process.
*/
export type StartRecord = {
	/**
	Marks the task as started.

	Checks the deadline again, since the process may have been paused after the slot was granted.

	@throws A fault of kind `DeadlinePassed` or `Cancelled` when the task must not start, `Internal` when a non-idempotent task has already started.
	*/
	readonly start: () => void;
	readonly hasStarted: () => boolean;
	readonly starts: () => number;
};

/**
Creates the record of a task that has not started.

@param options.isIdempotent Whether the task may start more than once.
@param options.deadlineAt Monotonic milliseconds from which the task must not start.
@param options.onFirstStart Called at the first start.

@example
```
const record = createStartRecord({isIdempotent: false, deadlineAt: performance.now() + 1000, onFirstStart() {}});
record.start();
record.hasStarted(); // => true
```
*/
export const createStartRecord = (options: {isIdempotent: boolean; deadlineAt: number; signal?: AbortSignal; onFirstStart: () => void}): StartRecord => {
	let starts = 0;
	return {
		start() {
			if (options.signal?.aborted) {
				throw createFault(FaultKind.Cancelled, 'the submission was cancelled before the task was sent');
			}

			if (performance.now() >= options.deadlineAt) {
				throw createFault(FaultKind.DeadlinePassed, 'the deadline passed before the task was sent');
			}

			if (starts > 0 && !options.isIdempotent) {
				throw createFault(FaultKind.Internal, 'a non-idempotent task was about to be sent a second time');
			}

			starts++;
			if (starts === 1) {
				options.onFirstStart();
			}
		},
		hasStarted: () => starts > 0,
		starts: () => starts,
	};
};
