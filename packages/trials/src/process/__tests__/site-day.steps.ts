import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
	createFreezeDay, parseSiteDay, smallSites, type SiteDay, type SmallSiteName,
} from '../../version/site-day.js';
import {runSiteDay, type SiteDayResult} from '../site-day-run.js';

type SiteDayWorld = {
	day: SiteDay;
	result: SiteDayResult;
};

const coreShare = 0.675;
const share = 0.1;
const startMilliseconds = 1500;

const splitNumbers = (text: string): readonly number[] => text.split(',').map(Number);

Given('the text of a day file:', function (this: SiteDayWorld, text: string) {
	this.day = parseSiteDay(text);
});

Then('the day lasts {int} s, with freezes of {string} ms at {string} ms', function (this: SiteDayWorld, seconds: number, lengths: string, times: string) {
	assert.equal(this.day.seconds, seconds);
	assert.deepEqual(this.day.freezes.map(({forMilliseconds}) => forMilliseconds), splitNumbers(lengths));
	assert.deepEqual(this.day.freezes.map(({at}) => at), splitNumbers(times));
});

When('a daemon of the site {string} stands still for {int} ms every {int} ms, for {int} s, with seed {int}', {timeout: 120_000}, async function (this: SiteDayWorld, site: string, forMilliseconds: number, gapMilliseconds: number, seconds: number, seed: number) {
	this.result = await runSiteDay({
		seed,
		zones: smallSites[site as SmallSiteName],
		day: createFreezeDay(seconds, {
			startMilliseconds, gapMilliseconds, forMilliseconds, share,
		}),
		coreShare,
		loadFactor: 1,
		onFreeze() {
			// The seed repeats the freezes.
		},
		async onEnd() {
			// The violations tell what was seen.
		},
	});
});

Then('the day broke no promise', function (this: SiteDayWorld) {
	assert.deepEqual(this.result.violations, []);
	assert.ok(this.result.runs.length > 0, 'tasks have run');
});
