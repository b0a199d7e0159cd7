import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createReportOrders, type ReportOrder, type ReportOrders} from '../report-order.js';

type ReportOrderWorld = {
	reportClock: Clock | undefined;
	reportOrders: ReportOrders;
	lastOrder: ReportOrder;
};

Given('the reports of an endpoint that is listed with the incarnation {int}', function (this: ReportOrderWorld, startedAt: number) {
	this.reportClock = install({toFake: ['performance']});
	this.reportOrders = createReportOrders(startedAt);
});

After(function (this: Partial<ReportOrderWorld>) {
	this.reportClock?.uninstall();
});

const pollPattern = 'a poll sent at {int} ms is answered at {int} ms by the incarnation {int} with the clock {int}';

When(pollPattern, function (this: ReportOrderWorld, polledAt: number, arrivedAt: number, startedAt: number, clockMilliseconds: number) {
	this.reportClock!.tick(arrivedAt - this.reportClock!.now);
	this.lastOrder = this.reportOrders.record({startedAt, clockMilliseconds}, polledAt);
});

Then('the last report is {string}', function (this: ReportOrderWorld, order: string) {
	assert.equal(this.lastOrder, order);
});

Then('the present incarnation is {int}', function (this: ReportOrderWorld, startedAt: number) {
	assert.equal(this.reportOrders.startedAt(), startedAt);
});
