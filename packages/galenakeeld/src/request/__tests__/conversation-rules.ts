/**
The rules that a conversation has to keep, as RULES.md words them for a job that needn't be kept.
*/
import {RunEnd} from '@galenakeel/model/connection/endpoint-calls.js';
import {JobEnd} from '@galenakeel/model/request/job.js';
import {positionOf} from '@galenakeel/model/request/task-key.js';
import type {SimulatedCaller} from './simulated-caller.js';
import type {SimulatedRun} from './simulated-endpoint.js';

/**
A rule.
*/
export enum ConversationRule {
	/** A job is answered complete, and a task has no run that ended done before. */
	Mixed = 'MIXED',
	/** All attempts to hand a job in were rejected, and a task of it starts. */
	Refused = 'REFUSED',
	/** Two runs of a task at the same time. */
	Twice = 'TWICE',
	/** Two runs of a task at the same time in different cells, the later one by a part whose first owner was lost. */
	TwiceAfterLoss = 'TWICE after a lost owner, in another cell',
	/** A job gets no answer although all disruptions are over and none of its tasks runs. */
	Unanswered = 'UNANSWERED',
}

/**
A rule that was broken, by which job.
*/
export type BrokenRule = {readonly rule: ConversationRule; readonly job: string; readonly detail: string};

const firstLaterAttempt = 1000;

const positionsOf = ({plan}: SimulatedCaller): readonly string[] =>
	plan.job.steps.flatMap(({tasks}, step) => Array.from({length: tasks}, (_, index) => positionOf({step, index})));

const describeRun = ({attempt, endpoint, starter, startedAt, endedAt, end}: SimulatedRun): string =>
	`run ${attempt} at ${endpoint} by ${starter}, ${startedAt} to ${endedAt} ms (${end ?? 'active'})`;

const findMixed = (caller: SimulatedCaller, runs: readonly SimulatedRun[]): readonly BrokenRule[] => {
	const answered = caller.attempts.find(({end}) => end === JobEnd.Complete);
	return answered
		? positionsOf(caller)
			.filter(position => !runs.some(({task, end, endedAt}) => positionOf(task) === position && end === RunEnd.Succeeded && endedAt <= answered.endedAt!))
			.map(position => ({rule: ConversationRule.Mixed, job: caller.plan.job.identifier, detail: `task ${position} was not done when the job was answered complete at ${answered.endedAt} ms`}))
		: [];
};

const findRefused = (caller: SimulatedCaller, runs: readonly SimulatedRun[]): readonly BrokenRule[] => {
	const isRefused = caller.attempts.length > 0 && caller.attempts.every(({end}) => end === JobEnd.Refused);
	return isRefused && runs.length > 0 ? [{rule: ConversationRule.Refused, job: caller.plan.job.identifier, detail: describeRun(runs[0]!)}] : [];
};

const cellOfEndpoint = ({endpoint}: SimulatedRun): string => endpoint.split('-')[0]!;

const findTwice = (caller: SimulatedCaller, runs: readonly SimulatedRun[]): readonly BrokenRule[] => {
	const broken: BrokenRule[] = [];
	for (const [number, second] of runs.entries()) {
		for (const first of runs.slice(0, number)) {
			if (positionOf(first.task) === positionOf(second.task) && first.endedAt > second.startedAt && second.endedAt > first.startedAt) {
				const isAfterLoss = cellOfEndpoint(first) !== cellOfEndpoint(second) && second.attempt > firstLaterAttempt;
				broken.push({
					rule: isAfterLoss ? ConversationRule.TwiceAfterLoss : ConversationRule.Twice, job: caller.plan.job.identifier, detail: `task ${positionOf(first.task)}: ${describeRun(first)}; ${describeRun(second)}`,
				});
			}
		}
	}

	return broken;
};

const findUnanswered = (caller: SimulatedCaller, runs: readonly SimulatedRun[]): readonly BrokenRule[] =>
	caller.isDone() || runs.some(({end}) => end === undefined) ? [] : [{rule: ConversationRule.Unanswered, job: caller.plan.job.identifier, detail: `attempts: ${JSON.stringify(caller.attempts)}`}];

/**
Returns the rules that a caller's job has broken.

@param allRuns The runs of all endpoints.

@example
```
findBrokenRules(caller, endpoints.flatMap(({runs}) => runs));
```
*/
export const findBrokenRules = (caller: SimulatedCaller, allRuns: readonly SimulatedRun[]): readonly BrokenRule[] => {
	const runs = allRuns.filter(({task}) => task.job === caller.plan.job.identifier).toSorted((first, second) => first.startedAt - second.startedAt);
	return [findMixed, findRefused, findTwice, findUnanswered].flatMap(find => find(caller, runs));
};
