import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {EndpointStart} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {ProvePoint} from '../version/prove-point.js';
import type {CallerOperation, History} from './history.js';

const leavingGraceMilliseconds = 3000;

/**
A place where a history breaks a promise.
*/
export type Violation = {readonly point: ProvePoint; readonly detail: string};

const startsOf = (history: History): ReadonlyMap<string, readonly EndpointStart[]> => {
	const starts = new Map<string, EndpointStart[]>();
	for (const start of history.starts) {
		starts.set(start.task, [...starts.get(start.task) ?? [], start]);
	}

	return starts;
};

const checkStartsOnce = (history: History): readonly Violation[] => {
	const repeatable = new Set(history.operations.filter(operation => operation.isIdempotent).flatMap(operation => operation.tasks));
	return [...startsOf(history)]
		.filter(([task, starts]) => starts.length > 1 && !repeatable.has(task))
		.map(([task, starts]) => ({point: task.startsWith('single') ? ProvePoint.AtMostOnce : ProvePoint.StartsOnce, detail: `task ${task} started ${starts.length} times`}));
};

/**
Checks that a refusal is true: no task of it had started by its end, whoever started it, and a later start is that of another attempt.
*/
const checkRefusals = (history: History): readonly Violation[] => {
	const starts = startsOf(history);
	const isExplained = (refusal: CallerOperation, task: string, start: EndpointStart): boolean => start.startedAt > refusal.endedAt
		&& history.operations.some(other => other.outcome !== Outcome.NotRun && other.tasks.includes(task) && other.sentAt <= start.startedAt);

	return history.operations
		.filter(({outcome, status}) => outcome === Outcome.NotRun && status !== 0)
		.flatMap(refusal => refusal.tasks
			.filter(task => (starts.get(task) ?? []).some(start => !isExplained(refusal, task, start)))
			.map(task => ({point: ProvePoint.TrueRefusal, detail: `"${refusal.identifier}" was answered "not run", but task ${task} started`})));
};

/**
Checks that what is said to be complete was started by an endpoint.
*/
const checkCompleteStarted = (history: History): readonly Violation[] => {
	const starts = startsOf(history);
	return history.operations
		.filter(({outcome}) => outcome === Outcome.Complete)
		.flatMap(operation => operation.tasks
			.filter(task => !starts.has(task))
			.map(task => ({point: ProvePoint.WholeAnswer, detail: `"${operation.identifier}" is complete, but no endpoint started task ${task}`})));
};

/**
Checks that an identifier is never complete to one caller and failed to another.
*/
const checkOneOutcome = (history: History): readonly Violation[] => {
	const complete = new Set(history.operations.filter(({outcome}) => outcome === Outcome.Complete).map(({identifier}) => identifier));
	return history.operations
		.filter(({identifier, outcome}) => identifier !== '' && outcome === Outcome.Failed && complete.has(identifier))
		.map(({identifier}) => ({point: ProvePoint.JobWhole, detail: `"${identifier}" is complete to one caller and failed to another`}));
};

const failedStatus = 500;

/**
The one answer that an endpoint gives to a task with this status.
*/
const expectedAnswer = (task: string, status: number, {answerBytes = 0}: CallerOperation): string =>
	status === failedStatus ? `${task}:failed` : `${task}:${task}`.padEnd(answerBytes, '.');

type JobTaskAnswer = {readonly outcome: Outcome; readonly status: number; readonly body?: string};

type JobAnswer = {readonly outcome?: Outcome; readonly type?: string; readonly tasks?: readonly JobTaskAnswer[]};

const isAnswerTo = (task: string, answer: JobTaskAnswer, operation: CallerOperation): boolean =>
	answer.outcome === Outcome.Complete && answer.body === expectedAnswer(task, answer.status, operation);

/**
Checks that the header and the body of an answer of the dispatcher say the same, and that a problem is never complete.
*/
const checkAgreement = (operation: CallerOperation, answer: JobAnswer): readonly Violation[] => {
	if (answer.outcome !== operation.outcome) {
		return [{point: ProvePoint.JobWhole, detail: `the header of "${operation.identifier}" says "${operation.outcome}", its body "${answer.outcome}"`}];
	}

	const isProblem = answer.type !== undefined || operation.status >= 400;
	return isProblem === (answer.outcome === Outcome.Complete)
		? [{point: ProvePoint.JobWhole, detail: `"${operation.identifier}" has status ${operation.status} and the outcome "${answer.outcome}"`}]
		: [];
};

const checkJobAnswer = (operation: CallerOperation, {tasks = []}: JobAnswer): readonly Violation[] => {
	if (tasks.length !== operation.tasks.length) {
		return [{point: ProvePoint.JobWhole, detail: `"${operation.identifier}" is complete with ${tasks.length} of ${operation.tasks.length} answers`}];
	}

	return operation.tasks
		.map((task, position) => ({task, answer: tasks[position]!}))
		.filter(({task, answer}) => !isAnswerTo(task, answer, operation))
		.map(({task, answer}) => ({point: ProvePoint.WholeAnswer, detail: `task ${task} of "${operation.identifier}" has another's answer or a part: ${JSON.stringify(answer).slice(0, 200)}`}));
};

const isOfDispatcher = (operation: CallerOperation): boolean => operation.text.startsWith('{');

const checkAnswerOfDispatcher = (operation: CallerOperation): readonly Violation[] => {
	const answer = JSON.parse(operation.text) as JobAnswer;
	const disagreements = checkAgreement(operation, answer);
	return disagreements.length > 0 || operation.outcome !== Outcome.Complete ? disagreements : checkJobAnswer(operation, answer);
};

/**
Checks that an answer said to be complete is whole and is the submission's own.
*/
const checkAnswer = (operation: CallerOperation): readonly Violation[] => {
	if (operation.isCut && !operation.isDisturbed) {
		return [{point: ProvePoint.WholeAnswer, detail: `the answer to "${operation.tasks.join(', ')}" was cut`}];
	}

	if (isOfDispatcher(operation)) {
		return checkAnswerOfDispatcher(operation);
	}

	if (operation.outcome !== Outcome.Complete) {
		return [];
	}

	const expected = expectedAnswer(operation.tasks[0]!, operation.status, operation);
	return operation.text === expected ? [] : [{point: ProvePoint.WholeAnswer, detail: `the answer to ${operation.tasks[0]} is "${operation.text.slice(0, 100)}"`}];
};

/**
Checks that every answer to one identifier that is complete is the same.
*/
const checkRepeats = (history: History): readonly Violation[] => {
	const first = new Map<string, string>();
	const violations: Violation[] = [];
	for (const {identifier, outcome, text} of history.operations) {
		if (identifier === '' || outcome !== Outcome.Complete) {
			continue;
		}

		const before = first.get(identifier);
		if (before !== undefined && before !== text) {
			violations.push({point: ProvePoint.WholeAnswer, detail: `"${identifier}" has two different answers`});
		}

		first.set(identifier, text);
	}

	return violations;
};

const checkLeaving = (history: History): readonly Violation[] => history.leaving.flatMap(({endpoint, listedAt, restartedAt = Infinity}) => history.starts
	.filter(start => start.endpoint === endpoint && start.startedAt > listedAt + leavingGraceMilliseconds && start.startedAt < restartedAt)
	.map(start => ({point: ProvePoint.LeavingEndpoint, detail: `task ${start.task} started on ${endpoint} ${start.startedAt - listedAt} ms after it was listed as leaving`})));

/**
Checks that no daemon ever went back to an earlier version.
*/
const checkReverts = (history: History): readonly Violation[] => {
	const highest = new Map<string, number>();
	const violations: Violation[] = [];
	for (const {incarnation, version} of history.looks.toSorted((first, second) => first.at - second.at)) {
		const before = highest.get(incarnation) ?? 0;
		if (version < before) {
			violations.push({point: ProvePoint.DocumentInForce, detail: `${incarnation} went back from version ${before} to ${version}`});
		}

		highest.set(incarnation, Math.max(before, version));
	}

	return violations;
};

/**
Checks a merged history against every point that can be judged from it.

@example
```
const violations = checkHistory(history).filter(({point}) => point === ProvePoint.StartsOnce);
```
*/
export const checkHistory = (history: History): readonly Violation[] => [
	...checkStartsOnce(history),
	...checkRefusals(history),
	...checkCompleteStarted(history),
	...checkOneOutcome(history),
	...history.operations.flatMap(operation => checkAnswer(operation)),
	...checkRepeats(history),
	...checkLeaving(history),
	...checkReverts(history),
];
