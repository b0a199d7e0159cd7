/**
Wakes tasks that wait for an event.
*/
export type Notification = {
	/** Wakes all that wait now. */
	readonly notify: () => void;
	/** Waits for the next call of `notify`, but not longer than a time. */
	readonly wait: (milliseconds: number) => Promise<void>;
};

/**
Creates a notification for which nobody waits yet.

@example
```
const claimed = createNotification();
await claimed.wait(500);
```
*/
export const createNotification = (): Notification => {
	const waiting = new Set<() => void>();
	return {
		notify() {
			for (const wake of waiting) {
				wake();
			}
		},
		wait: async milliseconds => new Promise(resolve => {
			const wake = (): void => {
				clearTimeout(timer);
				waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, milliseconds);
			waiting.add(wake);
		}),
	};
};
