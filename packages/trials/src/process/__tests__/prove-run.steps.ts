import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {summarizePoint, type PointSummary} from '../../version/point-summary.js';
import type {ProvePoint} from '../../version/prove-point.js';
import {findFreeAddresses} from '../free-ports.js';
import {runHistory} from '../run-history.js';

type ProveRunWorld = {addresses: readonly string[]; summary: PointSummary};

When('{int} searches for {int} free addresses run at once', async function (this: ProveRunWorld, searches: number, count: number) {
	const found = await Promise.all(Array.from({length: searches}, async () => findFreeAddresses(count)));
	this.addresses = found.flat();
});

Then('all {int} addresses differ', function (this: ProveRunWorld, count: number) {
	assert.equal(this.addresses.length, count);
	assert.equal(new Set(this.addresses).size, count);
});

When('a history of {string} breaks off with {string}', async function (this: ProveRunWorld, point: ProvePoint, message: string) {
	const run = await runHistory(async () => {
		throw new Error(message);
	}, {point, position: 0, seed: 1});
	assert.ok(run.violations[0]!.detail.includes(message));
	this.summary = summarizePoint(point, 1, [run]);
});

When('the histories of {string} record {int}, {int} operations', function (this: ProveRunWorld, point: ProvePoint, first: number, second: number) {
	this.summary = summarizePoint(point, 1, [first, second].map(operations => ({operations, violations: []})));
});

Then('the point has the status {string} with {int} violation(s)', function (this: ProveRunWorld, status: string, violations: number) {
	assert.equal(this.summary.status, status);
	assert.equal(this.summary.violations, violations);
});
