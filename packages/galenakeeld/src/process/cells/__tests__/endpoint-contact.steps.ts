import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createEndpointContact, type EndpointContact} from '../endpoint-contact.js';
import {createEndpointLeases, type EndpointLeases} from '../endpoint-leases.js';

type ContactWorld = {
	contact: EndpointContact;
	leases: EndpointLeases;
	leasesClock: Clock | undefined;
};

const describe = (contact: EndpointContact): string => [
	['awaited', contact.isAwaited()],
	['reached', contact.isReached()],
	['silent', contact.isSilent()],
	['missed', contact.hasMissed()],
	['pausing', contact.isPausing()],
].filter(([, holds]) => holds).map(([name]) => name).join(', ');

Given('an endpoint that was not looked at', function (this: ContactWorld) {
	this.contact = createEndpointContact();
});

When('a look is answered', function (this: ContactWorld) {
	this.contact.noteAnswer();
});

When('{int} looks have no answer', function (this: ContactWorld, looks: number) {
	for (let look = 0; look < looks; look++) {
		this.contact.noteMiss(true);
	}
});

When('a look is turned away', function (this: ContactWorld) {
	this.contact.noteMiss(false);
});

Then('the contact is {string}', function (this: ContactWorld, expected: string) {
	assert.equal(describe(this.contact), expected);
});

Given('leases of at most {int} ms', function (this: ContactWorld, milliseconds: number) {
	this.leasesClock = install({toFake: ['performance']});
	this.leases = createEndpointLeases(milliseconds);
});

After(function (this: Partial<ContactWorld>) {
	this.leasesClock?.uninstall();
});

When('the endpoint\'s clock is {int} ms', function (this: ContactWorld, milliseconds: number) {
	this.leases.observe(milliseconds);
});

When('{int} ms pass for the leases', function (this: ContactWorld, milliseconds: number) {
	this.leasesClock!.tick(milliseconds);
});

Then('there is no next lease', function (this: ContactWorld) {
	assert.equal(this.leases.next(), undefined);
});

Then('the next lease ends at {int} ms', function (this: ContactWorld, milliseconds: number) {
	assert.equal(this.leases.next(), milliseconds);
});

Then('a lease may still last', function (this: ContactWorld) {
	assert.ok(!this.leases.haveExpired());
});

Then('no lease lasts', function (this: ContactWorld) {
	assert.ok(this.leases.haveExpired());
});
