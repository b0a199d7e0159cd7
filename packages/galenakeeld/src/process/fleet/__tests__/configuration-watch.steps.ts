import assert from 'node:assert/strict';
import {syncBuiltinESMExports} from 'node:module';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createConfigurationWatch, type ConfigurationWatch} from '../configuration-watch.js';
import {createConfiguration} from './simulated-configuration-store.js';

type WatchWorld = {
	watchClock: Clock | undefined;
	watch: ConfigurationWatch;
	watchReads: number;
	isHistoryGone: boolean;
};

const ignore = (): void => undefined;

Given('a daemon that learns after {int} ms that it is one of {int}, and whose random number is {float}', function (this: WatchWorld, milliseconds: number, daemons: number, fraction: number) {
	this.watchClock = install({toFake: ['performance', 'setTimeout', 'clearTimeout']});
	syncBuiltinESMExports();
	this.watchReads = 0;
	this.isHistoryGone = false;
	this.watch = createConfigurationWatch({
		readConfiguration: async () => {
			this.watchReads++;
			return {revision: 1, configuration: createConfiguration(1)};
		},
		awaitConfiguration: async (revision, waitMilliseconds) => {
			await sleep(waitMilliseconds);
			const {isHistoryGone} = this;
			this.isHistoryGone = false;
			return {revision, isHistoryGone};
		},
	}, {
		onInstall: ignore, onLost: ignore, onRegained: ignore, daemons: () => performance.now() < milliseconds ? 1 : daemons, random: () => fraction,
	});
	void this.watch.run();
});

After(function (this: Partial<WatchWorld>) {
	if (this.watchClock) {
		this.watch?.close();
		this.watchClock.uninstall();
		syncBuiltinESMExports();
	}
});

When('{int} ms pass for the watch', async function (this: WatchWorld, milliseconds: number) {
	await this.watchClock!.tickAsync(milliseconds);
});

When('the history of the store is dropped', function (this: WatchWorld) {
	this.isHistoryGone = true;
});

Then('the configuration was read {int} times', function (this: WatchWorld, count: number) {
	assert.equal(this.watchReads, count);
});
