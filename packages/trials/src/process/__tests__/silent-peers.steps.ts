import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {PeerStatus} from '@galenakeel/model/process/daemon-status.js';
import {beginFault, BenchFault} from '../bench-faults.js';
import type {DaemonProcess} from '../daemon-process.js';
import type {FleetWorld} from './fleet-world.js';

type SilentWorld = FleetWorld & {faultAt: number};

const lookMilliseconds = 20;
const startMilliseconds = 10_000;

const daemonsAt = ({running}: FleetWorld, positions: string): readonly DaemonProcess[] =>
	positions.split(', ').map(position => running.daemons[Number(position) - 1]!);

const reachableFrom = async (daemon: DaemonProcess): Promise<string> => {
	const {peers} = await daemon.status() as {peers: readonly PeerStatus[]};
	return peers.filter(({isReachable}) => isReachable).map(({instance}) => instance).toSorted().join(', ');
};

/** Waits until each of the daemons reaches the others among them and nobody else. */
const untilReachJustEachOther = async (daemons: readonly DaemonProcess[], until: number): Promise<void> => {
	const wanted = daemons.map(daemon => daemons.filter(other => other !== daemon).map(({instance}) => instance).toSorted().join(', '));
	for (;;) {
		const reached = await Promise.all(daemons.map(async daemon => reachableFrom(daemon)));
		const now = performance.now();
		if (reached.every((names, position) => names === wanted[position])) {
			return;
		}

		assert.ok(now < until, reached.join('; '));
		await sleep(lookMilliseconds);
	}
};

Given('a proxied fleet of 3 zones with 2 daemons each, all of which hear each other', async function (this: SilentWorld) {
	await this.start({
		zones: ['zone-a', 'zone-b', 'zone-c'], daemonsPerZone: 2, endpointsPerZone: 1, isProxied: true,
	});
	await untilReachJustEachOther(this.running.daemons, performance.now() + startMilliseconds);
});

When('daemon {int} is sent {string}', function (this: SilentWorld, daemon: number, signal: NodeJS.Signals) {
	this.faultAt = performance.now();
	this.running.daemons[daemon - 1]!.signal(signal);
});

When('the zone of daemons 3 and 6 is cut off', function (this: SilentWorld) {
	this.faultAt = performance.now();
	beginFault(this.running, BenchFault.CutZone);
});

Then('within {int} ms the daemons {string} reach just each other', async function (this: SilentWorld, milliseconds: number, positions: string) {
	await untilReachJustEachOther(daemonsAt(this, positions), this.faultAt + milliseconds);
	this.log(`after ${Math.round(performance.now() - this.faultAt)} ms`);
});
