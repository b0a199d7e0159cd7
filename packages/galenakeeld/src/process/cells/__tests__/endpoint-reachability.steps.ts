import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createEndpointReachability, type EndpointReachability} from '../endpoint-reachability.js';
import {createEndpointLeases, type EndpointLeases} from '../endpoint-leases.js';

type ReachabilityWorld = {
	reachability: EndpointReachability;
	leases: EndpointLeases;
	leasesClock: Clock | undefined;
};

const describe = (reachability: EndpointReachability): string => [
	['awaited', reachability.isAwaitingFirstAnswer()],
	['reachable', reachability.isReachable()],
	['silent', reachability.isSilent()],
	['missed', reachability.hasMissedPoll()],
	['backing off', reachability.isBackingOff()],
].filter(([, isSet]) => isSet).map(([name]) => name).join(', ');

Given('an endpoint that was not polled', function (this: ReachabilityWorld) {
	this.reachability = createEndpointReachability();
});

When('a poll is answered', function (this: ReachabilityWorld) {
	this.reachability.recordAnswer();
});

When('{int} polls have no answer', function (this: ReachabilityWorld, polls: number) {
	for (let poll = 0; poll < polls; poll++) {
		this.reachability.recordMissedPoll(true);
	}
});

When('a poll is rejected', function (this: ReachabilityWorld) {
	this.reachability.recordMissedPoll(false);
});

Then('the endpoint is {string}', function (this: ReachabilityWorld, expected: string) {
	assert.equal(describe(this.reachability), expected);
});

Given('leases of at most {int} ms', function (this: ReachabilityWorld, milliseconds: number) {
	this.leasesClock = install({toFake: ['performance']});
	this.leases = createEndpointLeases(milliseconds);
});

After(function (this: Partial<ReachabilityWorld>) {
	this.leasesClock?.uninstall();
});

When('the endpoint\'s clock is {int} ms', function (this: ReachabilityWorld, milliseconds: number) {
	this.leases.observe(milliseconds);
});

When('{int} ms pass for the leases', function (this: ReachabilityWorld, milliseconds: number) {
	this.leasesClock!.tick(milliseconds);
});

Then('there is no next lease', function (this: ReachabilityWorld) {
	assert.equal(this.leases.next(), undefined);
});

Then('the next lease ends at {int} ms', function (this: ReachabilityWorld, milliseconds: number) {
	assert.equal(this.leases.next(), milliseconds);
});

Then('a lease may still be in force', function (this: ReachabilityWorld) {
	assert.ok(!this.leases.haveExpired());
});

Then('no lease is in force', function (this: ReachabilityWorld) {
	assert.ok(this.leases.haveExpired());
});
