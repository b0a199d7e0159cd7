import {Outcome} from '@galenakeel/model/request/outcome.js';
import {ProvePoint} from '../version/prove-point.js';
import type {CallerOperation, History} from './history.js';

const leavingGraceMilliseconds = 3000;

/**
A place where a history breaks a promise.
*/
export type Violation = {readonly point: ProvePoint; readonly detail: string};

const countStarts = (history: History): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {task} of history.starts) {
		counts.set(task, (counts.get(task) ?? 0) + 1);
	}

	return counts;
};

const checkStartsOnce = (history: History): readonly Violation[] => [...countStarts(history)]
	.filter(([, starts]) => starts > 1)
	.map(([task, starts]) => ({point: task.startsWith('single') ? ProvePoint.AtMostOnce : ProvePoint.StartsOnce, detail: `task ${task} started ${starts} times`}));

const checkRefusal = (operation: CallerOperation, starts: ReadonlyMap<string, number>): readonly Violation[] => {
	if (operation.outcome !== Outcome.NotRun || operation.status === 0) {
		return [];
	}

	return operation.tasks
		.filter(task => starts.has(task))
		.map(task => ({point: ProvePoint.TrueRefusal, detail: `"${operation.identifier}" was answered "not run", but task ${task} started`}));
};

/**
Checks that "not run" is true: no task of the submission started, unless a later attempt was told otherwise.
*/
const checkRefusals = (history: History): readonly Violation[] => {
	const starts = countStarts(history);
	const retriedWith = new Set(history.operations.filter(operation => operation.outcome !== Outcome.NotRun).flatMap(operation => operation.tasks));
	return history.operations.flatMap(operation => checkRefusal(operation, starts).filter(() => !operation.tasks.some(task => retriedWith.has(task))));
};

const expectedAnswer = (task: string): string => `${task}:${task}`;

const checkJobAnswer = (operation: CallerOperation): readonly Violation[] => {
	const parsed = JSON.parse(operation.text) as {tasks?: ReadonlyArray<{outcome: Outcome; body?: string}>};
	const answers = parsed.tasks ?? [];
	if (answers.length !== operation.tasks.length) {
		return [{point: ProvePoint.JobWhole, detail: `"${operation.identifier}" is complete with ${answers.length} of ${operation.tasks.length} answers`}];
	}

	return operation.tasks
		.filter((task, position) => answers[position]!.outcome !== Outcome.Complete || answers[position]!.body !== expectedAnswer(task))
		.map(task => ({point: ProvePoint.WholeAnswer, detail: `task ${task} of "${operation.identifier}" has another's answer or a part`}));
};

const isJob = (operation: CallerOperation): boolean => operation.text.startsWith('{');

/**
Checks that an answer said to be complete is whole and is the submission's own.
*/
const checkAnswer = (operation: CallerOperation): readonly Violation[] => {
	if (operation.isCut && !operation.isDisturbed) {
		return [{point: ProvePoint.WholeAnswer, detail: `the answer to "${operation.tasks.join(', ')}" was cut`}];
	}

	if (operation.outcome !== Outcome.Complete) {
		return [];
	}

	if (isJob(operation)) {
		return checkJobAnswer(operation);
	}

	const expected = expectedAnswer(operation.tasks[0]!);
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

const checkLeaving = (history: History): readonly Violation[] => history.leaving.flatMap(({endpoint, listedAt}) => history.starts
	.filter(start => start.endpoint === endpoint && start.startedAt > listedAt + leavingGraceMilliseconds)
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
	...history.operations.flatMap(operation => checkAnswer(operation)),
	...checkRepeats(history),
	...checkLeaving(history),
	...checkReverts(history),
];
