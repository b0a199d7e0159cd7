import assert from 'node:assert/strict';
import {
	After, type DataTable, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {CallOutcome, type EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {Cell} from '../../cells/cell.js';
import {CellWork, type WorkTime, type WorkTotals} from '../../cells/work-times.js';
import {encodeMetrics} from '../../prometheus-text.js';
import {
	createDaemonLoad, isWorthLogging, type DaemonLoad, type DaemonLoadReport,
} from '../daemon-load.js';
import {createLoadMetrics, type LoadMetrics} from '../load-metrics.js';

type LoadWorld = {
	loadClock: Clock;
	intervalMilliseconds: number;
	processorMilliseconds: number;
	held: number;
	longestTurn: number;
	admission: WorkTime;
	observedCell: Pick<Cell, 'name' | 'observe'>;
	load: DaemonLoad;
	reports: DaemonLoadReport[];
	metrics: LoadMetrics;
};

const noWork: WorkTime = {count: 0, milliseconds: 0};
const task = {job: '5c0e7a21d94b36f8', step: 0, index: 0};
const messages: readonly FleetMessage[] = [
	{
		kind: FleetMessageKind.Heartbeat, instance: 'n1', address: 'n1', zone: 'north', startedAt: 1, processor: 1000, silentAfterMilliseconds: 700, neededSilenceMilliseconds: 700, claims: [], configurationVersion: 1, isLeaving: false, known: [], cellCounts: {},
	},
	{
		kind: FleetMessageKind.Started, job: task.job, part: '0', assignment: 1,
	},
];

const endpointCalls: EndpointCalls = {
	start: async () => ({outcome: CallOutcome.Done, clockMilliseconds: 0}),
	stop: async () => ({outcome: CallOutcome.Done, clockMilliseconds: 0}),
	poll: async () => ({outcome: CallOutcome.Unknown}),
	close() {
		// Nothing is open.
	},
};

const createObservedCell = (world: LoadWorld, name: string): Pick<Cell, 'name' | 'observe'> => ({
	name,
	observe() {
		const work: WorkTotals = {
			[CellWork.Admission]: world.admission, [CellWork.Placing]: noWork, [CellWork.Sharing]: noWork, [CellWork.Load]: noWork,
		};
		return {
			jobs: 0, jobsWaiting: 0, tasksWaiting: 4, tasksActive: 0, endpoints: 1, endpointsReachable: 1, work,
		};
	},
});

Given('a daemon whose timer fires each {int} ms, with a cell {string}', function (this: LoadWorld, milliseconds: number, zone: string) {
	this.loadClock = install({toFake: ['performance']});
	this.intervalMilliseconds = milliseconds;
	this.processorMilliseconds = 0;
	this.held = 0;
	this.longestTurn = 0;
	this.admission = noWork;
	this.reports = [];
	this.metrics = createLoadMetrics();
	this.observedCell = createObservedCell(this, zone);
	this.load = createDaemonLoad({
		timerMilliseconds: milliseconds,
		readUsage: () => ({processorMilliseconds: this.processorMilliseconds, busyMilliseconds: 0, heapBytes: 1}),
		takeLongestTurn: () => this.longestTurn,
		held: () => this.held,
		cells: () => [this.observedCell],
		onReport: report => {
			this.reports.push(report);
			this.metrics.record(report);
		},
	});
});

After(function (this: Partial<LoadWorld>) {
	this.loadClock?.uninstall();
});

When('{int} ms pass with the timer on time', function (this: LoadWorld, milliseconds: number) {
	for (let passed = 0; passed < milliseconds; passed += this.intervalMilliseconds) {
		this.loadClock.tick(this.intervalMilliseconds);
		this.load.recordTick();
	}
});

When('the timer fires {int} ms late', function (this: LoadWorld, milliseconds: number) {
	this.loadClock.tick(this.intervalMilliseconds + milliseconds);
	this.load.recordTick();
});

When('{int} ms of processor time are used', function (this: LoadWorld, milliseconds: number) {
	this.processorMilliseconds += milliseconds;
});

When('{int} frames of a heartbeat and another message are sent', function (this: LoadWorld, frames: number) {
	for (let frame = 0; frame < frames; frame++) {
		this.load.recordSent(messages, 100, 1);
	}
});

When('{int} frames of a heartbeat and another message are received', function (this: LoadWorld, frames: number) {
	for (let frame = 0; frame < frames; frame++) {
		this.load.recordReceived(messages, 100, 1);
	}
});

When('{int} frames with a heartbeat of {int} bytes and a message of {int} bytes are sent', function (this: LoadWorld, frames: number, heartbeatBytes: number, otherBytes: number) {
	for (let frame = 0; frame < frames; frame++) {
		this.load.recordSent(messages, 400, 1, [heartbeatBytes, otherBytes]);
	}
});

Then('a report shows {int} bytes of heartbeats and {int} bytes of other messages', function (this: LoadWorld, heartbeatBytes: number, otherBytes: number) {
	const {sentBytes} = this.reports.at(-1)!;
	const [heartbeat, other] = messages;
	assert.deepEqual([sentBytes[heartbeat!.kind] ?? 0, sentBytes[other!.kind] ?? 0], [heartbeatBytes, otherBytes]);
});

When('a stream opens and breaks', function (this: LoadWorld) {
	this.load.recordStreamOpened();
	this.load.recordStreamBroken();
});

When('{int} starts and {int} polls are sent to endpoints', async function (this: LoadWorld, starts: number, polls: number) {
	const calls = this.load.countCalls(endpointCalls);
	for (let start = 0; start < starts; start++) {
		await calls.start({
			task, attempt: 1, specification: '', leaseEndMilliseconds: 1, fencingToken: 1,
		});
	}

	for (let poll = 0; poll < polls; poll++) {
		await calls.poll({fencingToken: 1, acknowledged: 0, waitMilliseconds: 0});
	}
});

When('the cell has decided on {int} arrivals in {int} ms', function (this: LoadWorld, count: number, milliseconds: number) {
	this.admission = {count, milliseconds};
});

When('the cell is claimed anew', function (this: LoadWorld) {
	this.observedCell = createObservedCell(this, this.observedCell.name);
});

When('the daemon holds {int} jobs', function (this: LoadWorld, held: number) {
	this.held = held;
});

When('a turn of the event loop takes {int} ms', function (this: LoadWorld, milliseconds: number) {
	this.longestTurn = milliseconds;
});

Then('a report shows a longest turn of {int} ms', function (this: LoadWorld, milliseconds: number) {
	assert.equal(this.reports.at(-1)!.longestTurnMilliseconds, milliseconds);
});

Then('{int} loads were reported', function (this: LoadWorld, count: number) {
	assert.equal(this.reports.length, count);
});

Then('a report shows a maximum loop delay of {int} ms', function (this: LoadWorld, milliseconds: number) {
	assert.equal(this.reports.at(-1)!.loopDelay.maximumMilliseconds, milliseconds);
});

Then('it is worth logging', function (this: LoadWorld) {
	assert.ok(isWorthLogging(this.reports.at(-1)!));
});

Then('it is not worth logging', function (this: LoadWorld) {
	assert.ok(!isWorthLogging(this.reports.at(-1)!));
});

Then('a report shows {int} ms of processor time, {int} frames with {int} messages and {int} heartbeats sent, and {int} frames received', function (this: LoadWorld, milliseconds: number, frames: number, count: number, heartbeats: number, received: number) {
	const report = this.reports.at(-1)!;
	assert.equal(report.processorMilliseconds, milliseconds);
	assert.deepEqual([report.sent.frames, report.sent.messages, report.sent.heartbeats, report.received.frames], [frames, count, heartbeats, received]);
});

Then('it shows {int} streams opened and {int} broken, {int} starts and {int} polls', function (this: LoadWorld, opened: number, broken: number, starts: number, polls: number) {
	const {streams, calls} = this.reports.at(-1)!;
	assert.deepEqual(streams, {opened, broken});
	assert.deepEqual(calls, {starts, stops: 0, polls});
});

Then('a report shows {int} arrivals decided on in {int} ms', function (this: LoadWorld, count: number, milliseconds: number) {
	assert.deepEqual(this.reports.at(-1)!.cells[0]!.work[CellWork.Admission], {count, milliseconds});
});

Then('the metrics contain', function (this: LoadWorld, table: DataTable) {
	const lines = encodeMetrics(this.metrics.families()).split('\n');
	for (const [line] of table.raw()) {
		assert.ok(lines.includes(line!), `${line} is missing in\n${lines.join('\n')}`);
	}
});
