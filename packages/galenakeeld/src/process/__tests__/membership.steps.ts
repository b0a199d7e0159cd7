import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {InstanceRole, ListedState, type ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import {parseServiceDocument, type AcceptedDocument} from '@galenakeel/model/version/service-document.js';
import {install, type Clock} from '@sinonjs/fake-timers';
import {
	array, assert as assertProperty, constantFrom, property, shuffledSubarray,
} from 'fast-check';
import {createDocumentCatalogue} from '../../version/document-catalogue.js';
import {createLeavingEndpoints} from '../leaving-endpoints.js';
import {
	createMembership, InstanceState, type Membership, type PeerHeartbeat,
} from '../membership.js';

type MembershipWorld = {clock: Clock; membership: Membership};

const sweepMilliseconds = 100;
const identityOf = (instance: string): Pick<PeerHeartbeat, 'instance' | 'zone' | 'weight' | 'callerAddress' | 'peerAddress' | 'operatorAddress'> => ({
	instance, zone: 'zone-a', weight: 1, callerAddress: '10.0.1.1:1', peerAddress: '10.0.1.1:2', operatorAddress: '10.0.1.1:3',
});
const heartbeatOf = (instance: string, incarnation: string, state: InstanceState, leavingEndpoints: readonly string[] = []): PeerHeartbeat => ({
	...identityOf(instance), incarnation, state, catalogueVersion: 0, intervalMilliseconds: 500, hints: [], leavingEndpoints,
});
const listedEndpoint = (address: string, incarnation: string, state: ListedState): ListedInstance => ({
	name: 'worker-1', role: InstanceRole.Endpoint, zone: 'zone-a', address, state, incarnation,
});

const createTestMembership = (missedHeartbeats: number): Membership => createMembership({...identityOf('entry-1'), incarnation: 'a1'}, {
	missedHeartbeats,
	onOwnersChange() {
		// Not checked in this feature.
	},
	onEndpointsLeaving() {
		// Not checked in this feature.
	},
});

Given('a paused clock', function (this: MembershipWorld) {
	this.clock = install();
});

After(function (this: Partial<MembershipWorld>) {
	this.clock?.uninstall();
});

Given('the membership of {string} with {int} missed heartbeats of 500 ms', function (this: MembershipWorld, _instance: string, missedHeartbeats: number) {
	this.membership = createTestMembership(missedHeartbeats);
});

When('{string} sends a heartbeat of its run {string} as {string}', function (this: MembershipWorld, instance: string, run: string, state: InstanceState) {
	this.membership.receiveHeartbeat(heartbeatOf(instance, run, state));
});

When('{int} ms pass with sweeps', function (this: MembershipWorld, milliseconds: number) {
	for (let passed = 0; passed < milliseconds; passed += sweepMilliseconds) {
		this.clock.tick(sweepMilliseconds);
		this.membership.sweep();
	}
});

When('the process is paused for {int} ms', function (this: MembershipWorld, milliseconds: number) {
	this.clock.tick(milliseconds);
	this.membership.sweep();
});

When('this instance yields its slots', function (this: MembershipWorld) {
	this.membership.yieldSlots();
});

When('the list shows {string} in its run {string} as {string}', function (this: MembershipWorld, address: string, run: string, state: ListedState) {
	this.membership.updateListed([listedEndpoint(address, run, state)]);
});

When('a peer reports that {string} is leaving', function (this: MembershipWorld, mark: string) {
	this.membership.receiveHeartbeat(heartbeatOf('entry-2', 'b1', InstanceState.Serving, [mark]));
});

Then('the slots are shared by {string}', function (this: MembershipWorld, instances: string) {
	assert.equal(this.membership.owners().map(({instance}) => instance).toSorted().join(', '), instances);
});

Then('{string} is known in its run {string} as {string}', function (this: MembershipWorld, instance: string, run: string, state: string) {
	const peer = this.membership.findPeer(instance);
	assert.deepEqual([peer?.incarnation, peer?.state], [run, state]);
});

Then('{string} gets no tasks', function (this: MembershipWorld, address: string) {
	assert.equal(this.membership.isLeavingEndpoint(address), true);
});

Then('{string} gets tasks', function (this: MembershipWorld, address: string) {
	assert.equal(this.membership.isLeavingEndpoint(address), false);
});

Then('no mark is passed on', function (this: MembershipWorld) {
	assert.deepEqual(this.membership.leavingEndpoints(), []);
});

Then('no order of a run\'s heartbeats reverts it from {string}', (state: InstanceState) => {
	const states = Object.values(InstanceState);
	assertProperty(property(array(constantFrom(...states), {minLength: 1, maxLength: 8}), reportedStates => {
		const membership = createTestMembership(3);
		for (const reportedState of reportedStates) {
			membership.receiveHeartbeat(heartbeatOf('entry-2', 'b1', reportedState));
		}

		assert.equal(membership.findPeer('entry-2')!.state === state, reportedStates.includes(state));
	}));
});

Then('no order of updates opens an endpoint that any of them shows as leaving', () => {
	const address = '10.0.0.1:80';
	const updates = ['listed live', 'listed leaving', 'not listed', 'marked by a peer', 'no longer marked'];
	assertProperty(property(array(constantFrom(...updates), {minLength: 1, maxLength: 12}), order => {
		const leaving = createLeavingEndpoints();
		const actions = new Map<string, () => void>([
			['listed live', () => {
				leaving.updateListed([listedEndpoint(address, '1', ListedState.Live)]);
			}],
			['listed leaving', () => {
				leaving.updateListed([listedEndpoint(address, '1', ListedState.Leaving)]);
			}],
			['not listed', () => {
				leaving.updateListed([]);
			}],
			['marked by a peer', () => {
				leaving.receiveMarks([`${address}/1`]);
			}],
			['no longer marked', () => {
				leaving.receiveMarks([]);
			}],
		]);
		for (const item of order) {
			actions.get(item)!();
		}

		assert.equal(leaving.isLeaving(address), order.includes('listed leaving') || order.includes('marked by a peer'));
	}));
});

const documentOf = (service: string, version: number): AcceptedDocument => {
	const text = JSON.stringify({service, team: 'owners', endpoints: {}});
	return {version, text, document: parseServiceDocument(text, service)};
};

Then('no order of installs leaves an older document or catalogue in force', () => {
	const installs = [1, 2, 3, 4, 5, 6].map(version => ({version, service: version % 2 === 0 ? 'paysheet' : 'quote-svc'}));
	assertProperty(property(shuffledSubarray(installs, {minLength: 1}), order => {
		const catalogue = createDocumentCatalogue(() => {
			// Not checked in this feature.
		});
		for (const {version, service} of order) {
			catalogue.install([documentOf(service, version)], version);
		}

		const highest = (service: string): number | undefined => order.filter(item => item.service === service).map(({version}) => version).toSorted((first, second) => second - first)[0];
		assert.equal(catalogue.versionOf('paysheet')?.version, highest('paysheet'));
		assert.equal(catalogue.versionOf('quote-svc')?.version, highest('quote-svc'));
		assert.equal(catalogue.catalogueVersion(), Math.max(...order.map(({version}) => version)));
	}));
});
