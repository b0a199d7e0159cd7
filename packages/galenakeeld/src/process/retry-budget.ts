const initialRetries = 3;
const maximumRetries = 100;

/**
Limits retries to a share of first starts.
*/
export type RetryBudget = {
	/** Counts an attempt at a task. */
	readonly recordAttempt: () => void;
	/** Tells whether a task may be sent again, and spends one retry if so. */
	readonly spend: () => boolean;
	/** Retries that may be spent now. */
	readonly remaining: () => number;
};

/**
Creates a budget that allows a few retries before the first start.

@param share Retries as a share of first starts, from 0 to 1.

@example
```
const budget = createRetryBudget(() => version.document.guards.retryBudget);
budget.spend(); // => true
```
*/
export const createRetryBudget = (share: () => number): RetryBudget => {
	let retries = initialRetries;
	return {
		recordAttempt() {
			retries = Math.min(maximumRetries, retries + share());
		},
		spend() {
			if (share() === 0 || retries < 1) {
				return false;
			}

			// The retry is counted as an attempt, too, and must not earn a part of the next.
			retries -= 1 + share();
			return true;
		},
		remaining: () => Math.max(0, Math.floor(retries)),
	};
};
