import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {decideAdmission, type AdmissionLoad, type Refusal} from '../admission.js';

type AdmissionWorld = {load: AdmissionLoad; refusal: Refusal | undefined};

const maximumQueueMilliseconds = 1000;
const timeoutMilliseconds = 10_000;

Given('{int} slots of speed 1, all busy', function (this: AdmissionWorld, slots: number) {
	this.load = {
		free: 0, capacity: slots, waitingWork: 0, teamWork: 0, teamShare: 1, isStanding: false,
	};
});

Given('{int} ms of work is queued, {int} ms of it by the same team, entitled to {float} of the slots', function (this: AdmissionWorld, waitingWork: number, teamWork: number, teamShare: number) {
	this.load = {
		...this.load, waitingWork, teamWork, teamShare,
	};
});

Given('the queue is standing', function (this: AdmissionWorld) {
	this.load = {...this.load, isStanding: true};
});

When('a request of {int} ms with a deadline of {int} ms arrives', function (this: AdmissionWorld, work: number, deadlineMilliseconds: number) {
	this.refusal = decideAdmission({
		runMilliseconds: work, work, deadlineMilliseconds, timeoutMilliseconds, maximumQueueMilliseconds,
	}, this.load);
});

Then('the decision is {string}', function (this: AdmissionWorld, decision: string) {
	assert.equal(this.refusal?.fault ?? 'admitted', decision, this.refusal?.detail);
});

Then('the caller is told to retry after {int} ms', function (this: AdmissionWorld, milliseconds: number) {
	assert.equal(this.refusal?.retryAfterMilliseconds, milliseconds);
});
