import assert from 'node:assert/strict';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {FleetMessageKind} from '@galenakeel/model/connection/fleet-message.js';
import {holdConversation, type ConversationFailure, type PlanConversation} from './assignment-conversation.js';
import {planChangingOwners, type OwnerChange, type UnknownEndpoint} from './changing-owners.js';
import {planFrozenJobs, type Frozen} from './frozen-jobs.js';
import {planReturningCallers, type EndArrival, type Delay} from './returning-callers.js';

type ConversationWorld = {
	failures: ConversationFailure[];
	/** Number of messages about jobs that were read, by kind. */
	messages: Map<FleetMessageKind, number>;
};

/** By hand: the seeds to try instead, as "1-5000" or "17". */
const seedsVariable = 'CONVERSATION_SEEDS';
/** One conversation takes some 0.3 s of processor time, and more beside other work. */
const timeoutMilliseconds = 3_600_000;
const shownFailures = 3;

const seedsOf = (from: number, to: number): readonly [number, number] => {
	const [first, last] = (process.env[seedsVariable] ?? '').split('-').map(Number);
	return first ? [first, last ?? first] : [from, to];
};

const describe = ({seed, rule, job, detail, history}: ConversationFailure): string =>
	[`seed ${seed}, job ${job}: ${rule}: ${detail}`, ...history].join('\n');

const hold = async (world: ConversationWorld, from: number, to: number, planConversation?: PlanConversation): Promise<void> => {
	world.failures = [];
	world.messages = new Map();
	const [first, last] = seedsOf(from, to);
	for (let seed = first; seed <= last; seed++) {
		const {failures, messages} = await holdConversation(seed, planConversation);
		world.failures.push(...failures);
		for (const [kind, count] of messages) {
			world.messages.set(kind, (world.messages.get(kind) ?? 0) + count);
		}
	}
};

When('the conversations of the seeds {int} to {int} are held', {timeout: timeoutMilliseconds}, async function (this: ConversationWorld, from: number, to: number) {
	await hold(this, from, to);
});

When('the conversations of the seeds {int} to {int} are held, in which this stands still: {}', {timeout: timeoutMilliseconds}, async function (this: ConversationWorld, from: number, to: number, frozen: Frozen) {
	await hold(this, from, to, planFrozenJobs(frozen));
});

When('the conversations of the seeds {int} to {int} are held, with callers that return while daemons {} and whose ends arrive {}', {timeout: timeoutMilliseconds}, async function (this: ConversationWorld, from: number, to: number, delay: Delay, endArrival: EndArrival) {
	await hold(this, from, to, planReturningCallers(endArrival, delay));
});

When('the conversations of the seeds {int} to {int} are held, in which an owner {} and the next one {}', {timeout: timeoutMilliseconds}, async function (this: ConversationWorld, from: number, to: number, change: OwnerChange, unknown: UnknownEndpoint) {
	await hold(this, from, to, planChangingOwners(change, unknown));
});

Then('no rule was broken', function (this: ConversationWorld) {
	const summary = this.failures.map(({seed, rule, job}) => `seed ${seed}: ${rule}, job ${job}`).join('\n');
	assert.equal(this.failures.length, 0, `${summary}\n\n${this.failures.slice(0, shownFailures).map(failure => describe(failure)).join('\n\n')}`);
});

const assertMessages = ({messages}: ConversationWorld, kinds: readonly FleetMessageKind[]): void => {
	for (const kind of kinds) {
		assert.ok((messages.get(kind) ?? 0) > 0, `no message of kind ${kind}`);
	}
};

Then('jobs were run', function (this: ConversationWorld) {
	assertMessages(this, [FleetMessageKind.Started, FleetMessageKind.End]);
});

Then('tasks were moved, refused and run by the owners of several cells', function (this: ConversationWorld) {
	assertMessages(this, [FleetMessageKind.Redirect, FleetMessageKind.Refuse, FleetMessageKind.Dropped, FleetMessageKind.TaskSucceeded, FleetMessageKind.End]);
});
