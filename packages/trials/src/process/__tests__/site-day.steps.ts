import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {patientCallers, type CallerHabits} from '../../request/departure.js';
import {
	createFreezeDay, parseSiteDay, sites, type PlannedSlowdown, type SiteDay, type SiteName,
} from '../../version/site-day.js';
import {runSiteDay, type SiteDayResult} from '../site-day-run.js';

type SiteDayWorld = {
	day: SiteDay;
	site: SiteName;
	habits: CallerHabits;
	result: SiteDayResult;
};

const share = 0.1;
const startMilliseconds = 1500;
const millisecondsOfSecond = 1000;
const halfOfCallers = 0.5;

const splitNumbers = (text: string): readonly number[] => text.split(',').map(Number);

Given('the text of a day file:', function (this: SiteDayWorld, text: string) {
	this.day = parseSiteDay(text);
});

Then('the day lasts {int} s, with freezes of {string} ms at {string} ms', function (this: SiteDayWorld, seconds: number, lengths: string, times: string) {
	assert.equal(this.day.seconds, seconds);
	assert.deepEqual(this.day.freezes.map(({forMilliseconds}) => forMilliseconds), splitNumbers(lengths));
	assert.deepEqual(this.day.freezes.map(({at}) => at), splitNumbers(times));
});

Then('{float} of the daemons are {int} times slower from {int} ms on for {int} ms', function (this: SiteDayWorld, slowShare: number, divisor: number, at: number, forMilliseconds: number) {
	assert.deepEqual(this.day.slowdowns.filter(slowdown => slowdown.at === at), [{
		at, forMilliseconds, share: slowShare, divisor,
	}]);
});

const playDay = async (site: SiteName, day: SiteDay, seed: number, habits: CallerHabits): Promise<SiteDayResult> => runSiteDay({
	seed,
	site: sites[site],
	day,
	loadFactor: 1,
	habits,
	onDisruption() {
		// The seed repeats the disruptions.
	},
	async onEnd() {
		// The violations tell what was seen.
	},
});

When('a daemon of the site {string} stands still for {int} ms every {int} ms, for {int} s, with seed {int}', {timeout: 120_000}, async function (this: SiteDayWorld, site: string, forMilliseconds: number, gapMilliseconds: number, seconds: number, seed: number) {
	this.result = await playDay(site as SiteName, createFreezeDay(seconds, {
		startMilliseconds, gapMilliseconds, forMilliseconds, share,
	}), seed, patientCallers);
});

When('callers of the site {string} wait for {int} ms, and half of them leave unheard', function (this: SiteDayWorld, site: string, waitMilliseconds: number) {
	this.site = site as SiteName;
	this.habits = {waitOf: () => waitMilliseconds, earlyShare: 0, silentShare: halfOfCallers};
});

When('{float} of its daemons are {int} times slower for {int} s of a day of {int} s, with seed {int}', {timeout: 120_000}, async function (this: SiteDayWorld, slowShare: number, divisor: number, slowSeconds: number, seconds: number, seed: number) {
	const slowdown: PlannedSlowdown = {
		at: startMilliseconds, forMilliseconds: slowSeconds * millisecondsOfSecond, share: slowShare, divisor,
	};
	this.result = await playDay(this.site, {seconds, freezes: [], slowdowns: [slowdown]}, seed, this.habits);
});

Then('the day broke no promise', function (this: SiteDayWorld) {
	assert.deepEqual(this.result.violations, []);
	assert.ok(this.result.runs.length > 0, 'tasks have run');
});
