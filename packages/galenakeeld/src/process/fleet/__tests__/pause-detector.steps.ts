import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createPauseDetector, type TickGap} from '../pause-detector.js';

type PauseWorld = {
	pauseClock: Clock;
	measureGap: () => TickGap;
	gaps: TickGap[];
};

const describeGap = ({isPause, followsPause}: TickGap): string => `${isPause ? 'pause' : 'none'}${followsPause ? ' after a pause' : ''}`;

Given('a timer whose gaps count as pauses from {int} ms', function (this: PauseWorld, milliseconds: number) {
	this.pauseClock = install({toFake: ['performance']});
	this.measureGap = createPauseDetector(milliseconds);
	this.gaps = [];
});

After(function (this: Partial<PauseWorld>) {
	this.pauseClock?.uninstall();
});

When('it ticks at {string} ms', function (this: PauseWorld, times: string) {
	for (const time of times.split(',').map(Number)) {
		this.pauseClock.tick(time - performance.now());
		this.gaps.push(this.measureGap());
	}
});

Then('the gaps are {string}', function (this: PauseWorld, expected: string) {
	assert.equal(this.gaps.map(gap => describeGap(gap)).join(', '), expected);
});
