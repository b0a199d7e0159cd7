import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {JobAnswer, JobProgress, JobState} from '../connection/job-client.js';

/**
Formats the answer to a job as text for the terminal.
*/
export const formatJobAnswer = ({job, outcome, status, answer}: JobAnswer): string => {
	const tasks = answer.tasks ?? [];
	const complete = tasks.filter(task => task.outcome === Outcome.Complete).length;
	const counts = tasks.length > 0 ? `: ${complete} of ${tasks.length} tasks have an answer` : '';
	const reason = outcome === Outcome.Complete ? '' : `\n${answer.title ?? `status ${status}`}: ${answer.detail ?? ''}. ${answer.remedy ?? ''}`;
	return `${job}: ${outcome}${counts}${reason}`;
};

/**
Formats the progress of a job as text for the terminal.
*/
export const formatJobProgress = ({job, state, tasks, started, finished}: JobProgress): string =>
	`${job}: ${state}, ${started} of ${tasks} tasks started, ${finished} finished`;

/**
Formats the state of a job as text for the terminal.
*/
export const formatJobState = (state: JobState): string => state.isAnswered ? formatJobAnswer(state) : formatJobProgress(state);
