/**
What a caller may conclude about a task or a job.
*/
export enum Outcome {
	/** The whole answer is here. */
	Complete = 'complete',
	/** At least one task started and the submission has no whole answer. */
	Failed = 'failed',
	/** No byte of the submission left the dispatcher. */
	NotRun = 'not run',
	/** The dispatcher can't tell whether the submission ran. */
	OutcomeUnknown = 'outcome unknown',
}

const outcomes: ReadonlySet<string> = new Set(Object.values(Outcome));

/**
Tells whether a string is the text of an outcome.

@example
```
isOutcome('not run'); // => true
```
*/
export const isOutcome = (value: string): value is Outcome => outcomes.has(value);
