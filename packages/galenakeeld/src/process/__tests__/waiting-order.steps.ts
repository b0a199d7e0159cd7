import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {TaskLength, type WaitingItem, type WaitingOrder} from '../task-queue.js';
import {createWaitingOrder} from '../waiting-order.js';

type OrderWorld = {order: WaitingOrder};

const add = (order: WaitingOrder, task: {name: string; work: number; team: string; at: number}): void => {
	order.add({
		async start() {
			return undefined;
		},
		task: {
			kind: task.name,
			team: task.team,
			length: TaskLength.Short,
			workMilliseconds: task.work,
			arrivedAt: task.at,
			deadlineAt: Infinity,
			abandon() {
				// Not under test.
			},
		},
	});
};

const takeAll = (order: WaitingOrder): readonly WaitingItem[] => {
	const dequeued: WaitingItem[] = [];
	for (let next = order.peek(() => true); next; next = order.peek(() => true)) {
		order.take(next);
		dequeued.push(next);
	}

	return dequeued;
};

Given('a waiting order without quotas', function (this: OrderWorld) {
	this.order = createWaitingOrder(() => undefined);
});

Given('a waiting order in which team {string} has a share of {int}', function (this: OrderWorld, team: string, share: number) {
	this.order = createWaitingOrder(name => name === team ? share : undefined);
});

When('a task {string} of {int} ms of team {string} waits at {int} ms', function (this: OrderWorld, name: string, work: number, team: string, at: number) {
	add(this.order, {
		name, work, team, at,
	});
});

When('{int} tasks of {int} ms of team {string} wait at {int} ms', function (this: OrderWorld, count: number, work: number, team: string, at: number) {
	for (let number = 0; number < count; number++) {
		add(this.order, {
			name: `${team}-${number}`, work, team, at,
		});
	}
});

When('{int} teams wait with a task each while the first {int} are served', function (this: OrderWorld, teams: number, served: number) {
	for (let number = 0; number < teams; number++) {
		add(this.order, {
			name: `task-${number}`, work: 100, team: `team-${number}`, at: number,
		});
	}

	for (let number = 0; number < served; number++) {
		this.order.take(this.order.peek(() => true)!);
	}

	this.order.remove(() => false);
});

When('the tasks of team {string} are removed', function (this: OrderWorld, team: string) {
	this.order.remove(task => task.team === team);
});

Then('the waiting tasks start in the order {string}', function (this: OrderWorld, names: string) {
	assert.equal(takeAll(this.order).map(({task}) => task.kind).join(', '), names);
});

Then('the tasks of {string} are among the first {int} to start', function (this: OrderWorld, team: string, first: number) {
	const last = takeAll(this.order).findLastIndex(({task}) => task.team === team);
	assert.ok(last < first, `the last one is at position ${last}`);
});

Then('{int} of the first {int} tasks to start are of {string}', function (this: OrderWorld, count: number, first: number, team: string) {
	const dequeued: string[] = [];
	for (let number = 0; number < first; number++) {
		const next = this.order.peek(() => true)!;
		this.order.take(next);
		dequeued.push(next.task.team);
	}

	assert.equal(dequeued.filter(name => name === team).length, count);
});

Then('all waiting tasks start', function (this: OrderWorld) {
	const waiting = this.order.size();
	assert.equal(takeAll(this.order).length, waiting);
});

Then('{int} tasks wait with {int} ms of work', function (this: OrderWorld, count: number, work: number) {
	assert.equal(this.order.size(), count);
	assert.equal(this.order.work(TaskLength.Short), work);
});
