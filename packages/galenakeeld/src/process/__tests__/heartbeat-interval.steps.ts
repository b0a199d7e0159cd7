import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {scaleHeartbeatInterval} from '../heartbeat-interval.js';
import {createHeartbeatSource, type TimedHeartbeatSource} from '../heartbeat-source.js';
import {InstanceState, type PeerHeartbeat} from '../membership.js';

type HeartbeatIntervalWorld = {source: TimedHeartbeatSource; interval: number; clock: Clock; heartbeatTimes: readonly number[]};

const defaults = {heartbeatMilliseconds: 500, maximumHeartbeatMilliseconds: 5000, heartbeatLoadFactor: 0.25};

const plainHeartbeat: PeerHeartbeat = {
	instance: 'entry-1',
	incarnation: 'i1',
	zone: 'zone-a',
	weight: 1,
	callerAddress: '',
	peerAddress: '',
	operatorAddress: '',
	state: InstanceState.Serving,
	catalogueVersion: 0,
	intervalMilliseconds: 0,
	hints: [],
	leavingEndpoints: [],
};

Then('with {int} instances the interval is {int} ms', (instances: number, milliseconds: number) => {
	assert.equal(scaleHeartbeatInterval(defaults, instances), milliseconds);
});

Given('a source of heartbeats with an interval of {int} ms', function (this: HeartbeatIntervalWorld, interval: number) {
	this.interval = interval;
	this.source = createHeartbeatSource(() => ({...plainHeartbeat, intervalMilliseconds: this.interval}));
});

When('the interval becomes {int} ms', function (this: HeartbeatIntervalWorld, interval: number) {
	this.source.current();
	this.interval = interval;
});

Then('the heartbeat at {int} ms announces {int} ms and the next is sent at {int} ms', async function (this: HeartbeatIntervalWorld, first: number, announced: number, second: number) {
	const clock = install();
	try {
		const sendTimes: number[] = [];
		const send = async (): Promise<void> => {
			for (;;) {
				await this.source.untilNext();
				sendTimes.push(clock.now);
				assert.equal(this.source.current().intervalMilliseconds, announced);
			}
		};

		const start = clock.now;
		void send();
		await clock.tickAsync(second);
		assert.deepEqual(sendTimes.map(at => at - start), [first, second]);
	} finally {
		clock.uninstall();
	}
});

When('a call postpones the heartbeat every {int} ms for {int} ms', async function (this: HeartbeatIntervalWorld, every: number, milliseconds: number) {
	const clock = install();
	try {
		const sendTimes = [clock.now];
		const send = async (): Promise<void> => {
			for (;;) {
				this.source.current();
				await this.source.untilNext();
				sendTimes.push(clock.now);
			}
		};

		void send();
		for (let passed = 0; passed < milliseconds; passed += every) {
			await clock.tickAsync(every);
			this.source.postpone();
		}

		this.heartbeatTimes = sendTimes;
	} finally {
		clock.uninstall();
	}
});

Then('heartbeats are sent at most {int} ms apart, and at most {int} of them', function (this: HeartbeatIntervalWorld, apart: number, count: number) {
	const gaps = this.heartbeatTimes.slice(1).map((at, position) => at - this.heartbeatTimes[position]!);
	assert.ok(gaps.length > 0 && gaps.length <= count && gaps.every(gap => gap <= apart), gaps.join(', '));
});
