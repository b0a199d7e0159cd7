import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import fc from 'fast-check';
import {
	createMembership, HeartbeatProbe, InstanceState, type Membership, type PeerHeartbeat,
} from '../membership.js';
import {createPeerWatch, findWatcher, type PeerWatch} from '../peer-watch.js';

type WatchWorld = {
	clock: Clock;
	membership: Membership;
	watch: PeerWatch;
	peers: readonly string[];
	interval: number;
	probes: string[];
	lastContactAt: Map<string, number>;
	/** Peers that do not answer probes. */
	silent: Set<string>;
};

const sweepMilliseconds = 50;

const namesOf = (text: string): readonly string[] => text.split(', ').filter(name => name !== '');

const heartbeatOf = (instance: string, intervalMilliseconds: number): PeerHeartbeat => ({
	instance,
	incarnation: 'a1',
	zone: 'zone-a',
	weight: 1,
	callerAddress: '10.0.1.1:1',
	peerAddress: '10.0.1.1:2',
	operatorAddress: '10.0.1.1:3',
	state: InstanceState.Serving,
	catalogueVersion: 0,
	intervalMilliseconds,
	hints: [],
	leavingEndpoints: [],
});

const receiveHeartbeat = (world: WatchWorld, instance: string): void => {
	world.membership.receiveHeartbeat(heartbeatOf(instance, world.interval));
	world.lastContactAt.set(instance, world.clock.now);
	world.silent.delete(instance);
};

/** Advances the clock with sweeps; `contact` is called for every peer whose interval has passed since its last contact. */
const advance = (world: WatchWorld, milliseconds: number, contact: (instance: string) => void): void => {
	for (let passed = 0; passed < milliseconds; passed += sweepMilliseconds) {
		world.clock.tick(sweepMilliseconds);
		for (const instance of world.peers) {
			if (world.clock.now - world.lastContactAt.get(instance)! >= world.interval) {
				contact(instance);
			}
		}

		world.watch.sweep();
	}
};

After(function (this: Partial<WatchWorld>) {
	this.clock?.uninstall();
});

Given('a watch of {string} over {string}, with heartbeats every {int} ms', function (this: WatchWorld, self: string, peers: string, interval: number) {
	this.clock = install();
	this.peers = namesOf(peers);
	this.interval = interval;
	this.probes = [];
	this.lastContactAt = new Map();
	this.silent = new Set();
	this.membership = createMembership(heartbeatOf(self, interval), {
		missedHeartbeats: 3,
		onOwnersChange() {
			// Not checked in this feature.
		},
		onEndpointsLeaving() {
			// Not checked in this feature.
		},
	});
	this.watch = createPeerWatch({
		self,
		membership: this.membership,
		heartbeats: {
			open: () => assert.fail('no stream is opened'),
			sendToAll: () => assert.fail('no heartbeat is sent to all peers'),
			postpone: () => assert.fail('no heartbeat is postponed'),
			send: (peer, probe) => {
				if (probe && this.membership.findPeer(peer)!.isReachable) {
					this.probes.push(`${peer} ${probe}`);
					this.clock.setTimeout(() => {
						if (!this.silent.has(peer)) {
							receiveHeartbeat(this, peer);
						}
					}, 1);
				}
			},
		},
	});
	for (const peer of this.peers) {
		receiveHeartbeat(this, peer);
	}
});

When('nothing is received from {string} for {int} ms', function (this: WatchWorld, names: string, milliseconds: number) {
	const silent = new Set(namesOf(names));
	for (const name of silent) {
		this.silent.add(name);
	}

	this.probes = [];
	advance(this, milliseconds, instance => {
		if (!silent.has(instance)) {
			receiveHeartbeat(this, instance);
		}
	});
});

When('{int} ms pass in which all send heartbeats', function (this: WatchWorld, milliseconds: number) {
	advance(this, milliseconds, instance => {
		receiveHeartbeat(this, instance);
	});
});

When('{string} sends a heartbeat again', function (this: WatchWorld, instance: string) {
	receiveHeartbeat(this, instance);
});

When('{string} only calls every {int} ms for {int} ms', function (this: WatchWorld, caller: string, _interval: number, milliseconds: number) {
	advance(this, milliseconds, instance => {
		if (instance === caller) {
			this.membership.recordContact(instance);
			this.lastContactAt.set(instance, this.clock.now);
		} else {
			receiveHeartbeat(this, instance);
		}
	});
});

When('the stream of {string} ends', function (this: WatchWorld, instance: string) {
	this.silent.add(instance);
	this.watch.suspect(instance);
});

When('{string} sends a suspicion probe', function (this: WatchWorld, instance: string) {
	this.watch.answerProbe(instance, HeartbeatProbe.Suspicion);
});

When('this process is paused for {int} ms', function (this: WatchWorld, milliseconds: number) {
	this.clock.tick(milliseconds);
	this.watch.sweep();
});

Then('the probes are {string}', function (this: WatchWorld, probes: string) {
	assert.equal(this.probes.join(', '), probes);
});

Then('the slots belong to {string}', function (this: WatchWorld, instances: string) {
	assert.equal(this.membership.owners().map(({instance}) => instance).toSorted().join(', '), instances);
});

Then('every set of silent instances includes one with a watcher that is not silent', () => {
	const names = fc.uniqueArray(fc.string({minLength: 1, maxLength: 3}), {minLength: 2, maxLength: 12});
	fc.assert(fc.property(names, fc.array(fc.boolean(), {minLength: 12, maxLength: 12}), (instances, isSilent) => {
		const silent = instances.filter((_, position) => isSilent[position]);
		if (silent.length > 0 && silent.length < instances.length) {
			const watchers = silent.map(name => findWatcher(name, instances.filter(other => other !== name)));
			assert.ok(watchers.some(watcher => !silent.includes(watcher!)));
		}
	}));
});
