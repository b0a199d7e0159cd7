import {performance} from 'node:perf_hooks';

/**
The waits of callers for the answers to their jobs.
*/
export type CallerWaits = {
	/**
	Begins the wait of a caller. Returns a function that forgets it.

	@param sentAt Monotonic milliseconds before which the caller can't have sent its request.
	@param waitMilliseconds How long the caller waits from then on; infinite if it doesn't say.
	@param onEnd Called when the caller has to be taken to have left.
	*/
	readonly begin: (sentAt: number, waitMilliseconds: number, onEnd: () => void) => () => void;
	/** Whether a caller that sent its request at that time may have left already. */
	readonly mayBeOver: (sentAt: number, waitMilliseconds: number) => boolean;
	/** Ends the waits whose time is over. Call it before anything is confirmed or submitted to the owners of jobs. */
	readonly endOverdue: () => void;
};

export type CallerWaitsOptions = {
	/** Time from the end of a wait until the caller may submit its job again, in milliseconds. */
	readonly returnMilliseconds: number;
	/** Time for which a run may go on after the last confirmation, in milliseconds. */
	readonly unconfirmedRunMilliseconds: number;
};

type Wait = {readonly endsAt: number; readonly onEnd: () => void};

/**
Creates the waits of this daemon's callers.

The end of a caller's connection may arrive late or never, so a caller is taken to have left so long before it may submit its job again as a run may go on unconfirmed: nothing that is confirmed up to then lets a run go on beyond its return.

@example
```
const waits = createCallerWaits({returnMilliseconds: 1300, unconfirmedRunMilliseconds: 1300});
const forget = waits.begin(caller.sentAfter, 2000, cancel);
```
*/
export const createCallerWaits = ({returnMilliseconds, unconfirmedRunMilliseconds}: CallerWaitsOptions): CallerWaits => {
	const waits = new Set<Wait>();
	/** No wait ends before this time. */
	let firstEndsAt = Number.POSITIVE_INFINITY;

	const endOf = (sentAt: number, waitMilliseconds: number): number => sentAt + waitMilliseconds + returnMilliseconds - unconfirmedRunMilliseconds;

	return {
		begin(sentAt, waitMilliseconds, onEnd) {
			const wait: Wait = {endsAt: endOf(sentAt, waitMilliseconds), onEnd};
			waits.add(wait);
			firstEndsAt = Math.min(firstEndsAt, wait.endsAt);
			return () => {
				waits.delete(wait);
			};
		},
		mayBeOver: (sentAt, waitMilliseconds) => endOf(sentAt, waitMilliseconds) <= performance.now(),
		endOverdue() {
			const now = performance.now();
			if (now < firstEndsAt) {
				return;
			}

			firstEndsAt = Number.POSITIVE_INFINITY;
			for (const wait of waits) {
				if (wait.endsAt <= now) {
					waits.delete(wait);
					wait.onEnd();
				} else {
					firstEndsAt = Math.min(firstEndsAt, wait.endsAt);
				}
			}
		},
	};
};
