/**
What a caller may conclude about a task or a job.
*/
export enum Outcome {
	/** The answer is complete. */
	Complete = 'complete',
	/** At least one task started, and the submission has no complete answer. */
	Failed = 'failed',
	/** No byte of the submission left the dispatcher. */
	NotRun = 'not run',
	/** It is not known whether the submission ran. */
	OutcomeUnknown = 'outcome unknown',
}

const outcomes: ReadonlySet<string> = new Set(Object.values(Outcome));

/**
Checks whether a string is an outcome.

@example
```
isOutcome('not run'); // => true
```
*/
export const isOutcome = (value: string): value is Outcome => outcomes.has(value);
