import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {PlatformOutcome, type Platform, type TableRow} from '@galenakeel/model/connection/platform-client.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer} from '@galenakeel/model/request/task.js';
import {install} from '@sinonjs/fake-timers';
import {refuse, submit, type SubmissionContext} from '../../request/run-submission.js';
import type {ServiceVersion} from '../../version/service-version.js';
import {claimPrefixOf, encodeClaim, parseClaim} from '../claim-row.js';
import {runClaimSweep} from '../claim-sweeper.js';
import {createClaimWriter} from '../claim-writer.js';
import {createSubmissionRegister, type SubmissionRegister} from '../submission-register.js';

const retentionMilliseconds = 7_200_000;

const versionWithoutEndpoints = Object.freeze(Object.create(null)) as ServiceVersion;

const failIfCalled = (): never => {
	throw new Error('these scenarios must not send a task to an endpoint');
};

type Incarnation = {readonly context: SubmissionContext; readonly register: SubmissionRegister};

type ClaimsWorld = {
	rows: Map<string, TableRow>;
	faults: {isDown: boolean; isStale: boolean; lostAnswers: number; canRun: boolean};
	transactions: number;
	ran: string[];
	answers: SubmissionAnswer[];
	incarnations: Incarnation[];
	restoreTime: (() => void) | undefined;
};

const createTable = (world: ClaimsWorld): Platform => {
	const assertUp = (): void => {
		if (world.faults.isDown) {
			throw createFault(FaultKind.PlatformUnavailable, 'the table is unreachable');
		}
	};

	return {
		async readRows(keys) {
			assertUp();
			return world.faults.isStale ? [] : keys.map(key => world.rows.get(key)).filter(row => row !== undefined);
		},
		scanRows: async (prefix, limit, after = '') => [...world.rows.values()].filter(({key}) => key.startsWith(prefix) && key > after).slice(0, limit),
		async transact(conditions, writes) {
			world.transactions++;
			if (world.faults.isDown) {
				return {outcome: PlatformOutcome.Unknown};
			}

			const broken = conditions.find(({key, version}) => (world.rows.get(key)?.version ?? 0) !== version);
			if (broken) {
				return {outcome: PlatformOutcome.Refused, refusedKey: broken.key};
			}

			for (const {key, value} of writes) {
				if (value === undefined) {
					world.rows.delete(key);
				} else {
					world.rows.set(key, {key, value, version: 1});
				}
			}

			return {outcome: world.faults.lostAnswers-- > 0 ? PlatformOutcome.Unknown : PlatformOutcome.Done};
		},
		listInstances: async () => [],
		readObject: async () => undefined,
		writeObject: async () => PlatformOutcome.Unknown,
	};
};

const createIncarnation = (world: ClaimsWorld, name: string): Incarnation => {
	const self = {instance: name, incarnation: `${name}-run`};
	const register = createSubmissionRegister({retentionMilliseconds: retentionMilliseconds * 2, maximumBytes: -1});
	const claims = createClaimWriter({
		platform: createTable(world), holder: self, transactionsPerSecond: () => 1000, onNonce: register.issue,
	});
	void claims.run();
	const context: SubmissionContext = {
		self,
		register,
		claim: claims.claim,
		claimRetentionMilliseconds: retentionMilliseconds,
		maximumAnswerBytes: 1000,
		forward: async () => refuse(FaultKind.Internal, 'forwarded'),
		findVersion: () => versionWithoutEndpoints,
		admit(_version, submission) {
			if (!world.faults.canRun) {
				return refuse(FaultKind.Overloaded, 'no task can run');
			}

			world.ran.push(submission.identifier);
			return {
				outcome: Outcome.Complete, answers: [],
			};
		},
		taskContext: failIfCalled,
		openTrace: failIfCalled,
		noteRepeat: () => undefined,
		observe: () => ({note: () => undefined, end: () => undefined}),
	};
	return {context, register};
};

const submissionOf = (identifier: string, body: string): Submission => ({
	identifier, service: 'paysheet', team: '', deadlineMilliseconds: 1000, traceparent: '', tasks: [{
		method: 'POST', path: '/', headers: [], kind: '', body: Buffer.from(body),
	}],
});

Given('two incarnations that share a table', function (this: ClaimsWorld) {
	this.rows = new Map();
	this.faults = {
		isDown: false, isStale: false, lostAnswers: 0, canRun: true,
	};
	this.transactions = 0;
	this.ran = [];
	this.answers = [];
	this.incarnations = ['entry-1', 'entry-2'].map(name => createIncarnation(this, name));
});

Given('a table of {int} expired and {int} fresh claims in one bucket', function (this: ClaimsWorld, expired: number, fresh: number) {
	for (let position = 0; position < expired + fresh; position++) {
		const claimedAt = Date.now() - (position < expired ? retentionMilliseconds : 0);
		const key = `${claimPrefixOf(7)}${String(position).padStart(3, '0')}`;
		const value = encodeClaim({
			instance: 'entry-1', incarnation: 'gone', nonce: 'n', fingerprint: 'f', claimedAt,
		});
		this.rows.set(key, {key, value, version: 1});
	}
});

When('the answer of the next transaction is lost', function (this: ClaimsWorld) {
	this.faults.lostAnswers = 1;
});

When('incarnation {int} submits {string} with the body {string}', async function (this: ClaimsWorld, incarnation: number, identifier: string, body: string) {
	this.answers.push(await submit(submissionOf(identifier, body), this.incarnations[incarnation - 1]!.context));
});

When('incarnation {int} submits {string} with a deadline of {int} ms', async function (this: ClaimsWorld, incarnation: number, identifier: string, deadlineMilliseconds: number) {
	this.answers.push(await submit({...submissionOf(identifier, 'a'), deadlineMilliseconds}, this.incarnations[incarnation - 1]!.context));
});

When('incarnation {int} cancels {string} while it waits', async function (this: ClaimsWorld, incarnation: number, identifier: string) {
	const {context, register} = this.incarnations[incarnation - 1]!;
	const cancelled: SubmissionContext = {
		...context,
		admit() {
			register.entryOf(identifier)!.cancellation.abort();
			return refuse(FaultKind.Cancelled, 'cancelled');
		},
	};
	this.answers.push(await submit(submissionOf(identifier, 'b'), cancelled));
});

When('the answers are dropped', async function (this: ClaimsWorld) {
	// An answer without tasks has 0 bytes, so only a limit of -1 drops it.
	this.incarnations[0]!.register.sweep();
	assert.equal(this.incarnations[0]!.register.size(), 0);
});

const faultSteps: Readonly<Record<string, Partial<ClaimsWorld['faults']>>> = {
	'the table is unreachable': {isDown: true},
	'the table is reachable again': {isDown: false},
	'reads are stale': {isStale: true},
	'no task can run': {canRun: false},
	'tasks can run': {canRun: true},
};

for (const [step, change] of Object.entries(faultSteps)) {
	When(step, function (this: ClaimsWorld) {
		Object.assign(this.faults, change);
	});
}

When('{int} ms pass', function (this: ClaimsWorld, milliseconds: number) {
	const clock = install({now: Date.now() + milliseconds, toFake: ['Date']});
	this.restoreTime = () => {
		clock.uninstall();
	};
});

When('the sweep completes one round', async function (this: ClaimsWorld) {
	const stop = new AbortController();
	const isPending = (): boolean => [...this.rows.values()].some(row => Date.now() - parseClaim(row).claimedAt >= retentionMilliseconds);
	void runClaimSweep({
		platform: createTable(this), retentionMilliseconds, pauseMilliseconds: 1, isOwnBucket: bucket => bucket === 7,
	}, stop.signal);
	for (let attempt = 0; attempt < 200 && isPending(); attempt++) {
		await sleep(5);
	}

	stop.abort();
});

Then('the outcomes are {string}', function (this: ClaimsWorld, outcomes: string) {
	assert.equal(this.answers.map(({outcome}) => outcome).join(', '), outcomes);
});

Then('the last fault is {string}', function (this: ClaimsWorld, fault: string) {
	assert.equal(this.answers.at(-1)!.fault, fault);
});

Then('the last detail names the deadline of {int} ms', function (this: ClaimsWorld, milliseconds: number) {
	assert.match(this.answers.at(-1)!.detail!, new RegExp(`the deadline of ${milliseconds} ms`, 'v'));
});

Then('{string} ran {int} time(s)', function (this: ClaimsWorld, identifier: string, times: number) {
	assert.equal(this.ran.filter(ran => ran === identifier).length, times);
});

Then('at most {int} transactions were sent', function (this: ClaimsWorld, maximum: number) {
	assert.ok(this.transactions <= maximum, `${this.transactions} transactions`);
});

Then('{int} rows remain', function (this: ClaimsWorld, rows: number) {
	assert.equal(this.rows.size, rows);
});

Then('the sweep sent {int} transactions', function (this: ClaimsWorld, transactions: number) {
	assert.equal(this.transactions, transactions);
});

After(function (this: ClaimsWorld) {
	this.restoreTime?.();
	this.restoreTime = undefined;
});
