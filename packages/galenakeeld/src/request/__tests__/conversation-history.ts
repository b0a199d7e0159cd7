import {performance} from 'node:perf_hooks';

/**
What happened in a conversation, for the report of a failure.
*/
export type ConversationHistory = {
	/** Records something about a job; undefined for what concerns all of them. */
	readonly record: (job: string | undefined, text: string) => void;
	/** Returns the lines about a job and about all jobs, with the monotonic milliseconds of each. */
	readonly linesOf: (job: string) => readonly string[];
};

/**
Creates an empty history.

@example
```
const history = createConversationHistory();
history.record('5c0e7a21d94b36f8', 'north-1 answers complete');
```
*/
export const createConversationHistory = (): ConversationHistory => {
	const entries: Array<{readonly at: number; readonly job: string | undefined; readonly text: string}> = [];
	return {
		record(job, text) {
			entries.push({at: performance.now(), job, text});
		},
		linesOf: job => entries.filter(entry => entry.job === undefined || entry.job === job).map(({at, text}) => `${at.toFixed(0).padStart(6)} ${text}`),
	};
};
