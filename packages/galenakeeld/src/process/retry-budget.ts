const initialRetries = 3;
const maximumRetries = 100;

/**
Limits retries to a share of first starts.
*/
export type RetryBudget = {
	/** Counts an attempt at a task. */
	readonly recordAttempt: () => void;
	/** Returns whether a task may be retried, and spends one retry if so. */
	readonly spend: () => boolean;
	/** Number of whole retries that remain in the budget. */
	readonly remaining: () => number;
};

/**
Creates a budget that starts with a few retries, so that the first tasks may be retried, too.

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

			// The caller also records the retry as an attempt, which must not add to the budget.
			retries -= 1 + share();
			return true;
		},
		remaining: () => Math.max(0, Math.floor(retries)),
	};
};
