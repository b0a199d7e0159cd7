import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import {checkHistory} from '../check-history.js';
import {createHistory, type CallerOperation, type History} from '../history.js';

type HistoryWorld = {history: History};

const jobText = (tasks: readonly string[], bodies = tasks.map(task => `${task}:${task}`)): string =>
	JSON.stringify({outcome: Outcome.Complete, tasks: bodies.map(body => ({outcome: Outcome.Complete, status: 200, body}))});

const problemText = (outcome: Outcome): string => JSON.stringify({type: 'urn:galenakeel:fault:internal', outcome});

const operationOf = (changes: Partial<CallerOperation>): CallerOperation => {
	const tasks = changes.tasks ?? ['job-0', 'job-1'];
	return {
		identifier: 'job', tasks, sentAt: 100, endedAt: 200, outcome: Outcome.Complete, status: 200, text: jobText(tasks), isCut: false, isDisturbed: false, ...changes,
	};
};

const refusalOf = (task: string, changes: Partial<CallerOperation> = {}): CallerOperation => operationOf({
	identifier: task, tasks: [task], outcome: Outcome.NotRun, status: 503, text: problemText(Outcome.NotRun), ...changes,
});

const addStart = ({starts}: History, task: string, startedAt = 150): void => {
	starts.push({
		task, startedAt, endpoint: 'worker-1', traceparent: '',
	});
};

const addOperation = ({operations}: History, changes: Partial<CallerOperation>): void => {
	operations.push(operationOf(changes));
};

const faults: Readonly<Record<string, (history: History) => void>> = {
	'a task that started twice'(history) {
		addStart(history, 'job-0');
	},
	'a single request that started twice'(history) {
		addStart(history, 'single-0');
		addStart(history, 'single-0');
	},
	'a complete job with an answer too few'(history) {
		addOperation(history, {identifier: 'other', text: jobText(['job-0'])});
	},
	'a complete job with a part of an answer'(history) {
		addOperation(history, {identifier: 'other', text: jobText([], ['job-0:job-0', 'job-1:jo'])});
	},
	'a complete job with another\'s answer'(history) {
		addOperation(history, {identifier: 'other', text: jobText([], ['job-1:job-1', 'job-0:job-0'])});
	},
	'a single answer that is a part'(history) {
		addOperation(history, {identifier: '', tasks: ['job-0'], text: 'job-0:j'});
	},
	'an answer that was cut'(history) {
		addOperation(history, {
			identifier: '', status: 0, text: '', outcome: Outcome.OutcomeUnknown, isCut: true,
		});
	},
	'two different complete answers'(history) {
		addOperation(history, {text: `${jobText(['job-0', 'job-1'])} `});
	},
	'a complete answer that no endpoint started'(history) {
		addOperation(history, {identifier: 'other', tasks: ['other-0']});
	},
	'a problem that says complete'(history) {
		addOperation(history, {identifier: 'other', status: 502, text: problemText(Outcome.Complete)});
	},
	'a header that differs from the body'(history) {
		addOperation(history, {
			identifier: 'other', outcome: Outcome.OutcomeUnknown, status: 502, text: problemText(Outcome.Failed),
		});
	},
	'a job both complete and failed'(history) {
		addOperation(history, {outcome: Outcome.Failed, status: 502, text: problemText(Outcome.Failed)});
	},
	'a refusal of a task that started before'(history) {
		addStart(history, 'late', 120);
		history.operations.push(refusalOf('late'), operationOf({identifier: 'late', tasks: ['late'], sentAt: 110}));
	},
	'a refusal of a task that started afterwards'(history) {
		addStart(history, 'late', 300);
		history.operations.push(refusalOf('late'));
	},
	'a start on an endpoint that left'(history) {
		history.leaving.push({endpoint: 'worker-1', listedAt: 150 - 3001});
	},
	'a version that went back'({looks}) {
		looks.push({incarnation: 'a', at: 1, version: 2}, {incarnation: 'a', at: 2, version: 1});
	},
	'a refusal before another attempt\'s run'(history) {
		addStart(history, 'late', 300);
		history.operations.push(refusalOf('late'), operationOf({
			identifier: 'late', tasks: ['late'], sentAt: 210, endedAt: 400,
		}));
	},
	'an idempotent task that started twice'(history) {
		addStart(history, 'again');
		addStart(history, 'again');
		addOperation(history, {
			identifier: '', tasks: ['again'], text: 'again:again', isIdempotent: true,
		});
	},
	'a cut answer of a killed daemon'(history) {
		addOperation(history, {
			identifier: '', status: 0, text: '', outcome: Outcome.OutcomeUnknown, isCut: true, isDisturbed: true,
		});
	},
};

Given('a history of a complete job', function (this: HistoryWorld) {
	this.history = createHistory();
	addStart(this.history, 'job-0');
	addStart(this.history, 'job-1');
	addOperation(this.history, {});
});

When('it has {string}', function (this: HistoryWorld, fault: string) {
	faults[fault]!(this.history);
});

Then('the checker finds nothing', function (this: HistoryWorld) {
	assert.deepEqual(checkHistory(this.history), []);
});

Then('the checker finds a violation of {string} only', function (this: HistoryWorld, point: string) {
	const points = new Set(checkHistory(this.history).map(violation => violation.point as string));
	assert.deepEqual([...points], [point]);
});
