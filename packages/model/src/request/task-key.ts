/**
Identifies one task of a job.
*/
export type TaskKey = {
	readonly job: string;
	/** Position of the step in its job. */
	readonly step: number;
	/** Position of the task in its step. */
	readonly index: number;
};

/**
Formats the position of a task within its job.

@example
```
positionOf({job: '5c0e7a21d94b36f8', step: 1, index: 17}); // => '1.17'
```
*/
export const positionOf = ({step, index}: Pick<TaskKey, 'step' | 'index'>): string => `${step}.${index}`;

/**
Checks whether two keys identify the same task.
*/
export const isSameTask = (first: TaskKey, second: TaskKey): boolean =>
	first.job === second.job && first.step === second.step && first.index === second.index;
