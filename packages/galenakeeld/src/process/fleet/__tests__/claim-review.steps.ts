import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createClaimReview, type ClaimReview} from '../claim-review.js';
import {createIdleCell} from './idle-cell.js';

type ReviewWorld = {
	reviewClock: Clock | undefined;
	claimReview: ClaimReview;
	viewRevision: number;
	reviews: number;
	reclaimed: string[];
};

const intervalMilliseconds = 50;

Given('a daemon that reviews its claims each 50 ms if that is due', function (this: ReviewWorld) {
	this.reviewClock = install({toFake: ['performance']});
	this.viewRevision = 1;
	this.reviews = 0;
	this.reclaimed = [];
	this.claimReview = createClaimReview({
		cells: {
			get: name => createIdleCell(name),
			reclaimOrYield: name => {
				this.reclaimed.push(name);
			},
			reviewClaims: () => {
				this.reviews++;
				return false;
			},
			revision: () => 1,
		},
		view: {all: () => [], revision: () => this.viewRevision},
		self() {
			throw new Error('the claims are not decided here');
		},
		mayClaim: () => true,
		mayHandOver: () => true,
		onClaimsChanged() {
			// Nothing is sent.
		},
		onReviewed() {
			// No job is held.
		},
		onFenceReviewed() {
			// Nothing is logged.
		},
	});
	this.claimReview.review();
	this.reviews = 0;
});

After(function (this: Partial<ReviewWorld>) {
	this.reviewClock?.uninstall();
});

const pass = (world: ReviewWorld, milliseconds: number, onInterval: () => void): void => {
	for (let elapsed = 0; elapsed < milliseconds; elapsed += intervalMilliseconds) {
		world.reviewClock!.tick(intervalMilliseconds);
		onInterval();
		world.claimReview.reviewIfDue();
		world.claimReview.reviewFences();
	}
};

When('{int} ms pass without a change', function (this: ReviewWorld, milliseconds: number) {
	pass(this, milliseconds, () => undefined);
});

When('{int} ms pass with a new heartbeat every 50 ms', function (this: ReviewWorld, milliseconds: number) {
	pass(this, milliseconds, () => {
		this.viewRevision++;
	});
});

When('endpoints of {string} accept another daemon', function (this: ReviewWorld, cell: string) {
	this.claimReview.recordFenced(cell);
});

Then('the claims were reviewed {int} times', function (this: ReviewWorld, times: number) {
	assert.equal(this.reviews, times);
});

Then('{string} was taken back or released', function (this: ReviewWorld, names: string) {
	assert.equal(this.reclaimed.join(', '), names);
});
