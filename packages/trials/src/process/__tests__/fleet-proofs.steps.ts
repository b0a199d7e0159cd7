import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {checkHistory, type Violation} from '../../request/check-history.js';
import {createHistory} from '../../request/history.js';
import {createRandom} from '../../request/random.js';
import type {ProvePoint} from '../../version/prove-point.js';
import {faultHistories} from '../fault-histories.js';

type ProofWorld = {violations: readonly Violation[]};

When('the history {int} of the point {string} is run with seed {int}', async function (this: ProofWorld, position: number, point: ProvePoint, seed: number) {
	const history = createHistory();
	const extra = await faultHistories[point][position - 1]!(history, createRandom(seed));
	assert.ok(history.operations.length + history.accepts.length > 0, 'nothing happened in the history');
	this.violations = [...checkHistory(history), ...extra];
});

Then('it shows no violation', function (this: ProofWorld) {
	assert.deepEqual(this.violations, []);
});
