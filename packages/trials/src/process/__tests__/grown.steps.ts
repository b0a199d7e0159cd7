import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {figuresOf, worstZoneEarned} from '../../version/grown-figures.js';
import {floorOfZone} from '../../version/grown-site.js';
import {runGrown, type GrownResult} from '../grown-run.js';

type GrownWorld = {
	grown: GrownResult;
	events: string[];
};

When('the load of a grown zone is played for {int} s at {int} jobs a second on {float} of a core for each core, with seed {int}', {timeout: 120_000}, async function (this: GrownWorld, seconds: number, jobsPerSecond: number, coreShare: number, seed: number) {
	this.events = [];
	this.grown = await runGrown({
		seed,
		seconds,
		zones: ['zone-1'],
		daemonsInZone: 9,
		endpointsInZone: 61,
		jobsPerSecond,
		coreShare,
		faults: [],
		nodeArguments: [],
		isGraceful: false,
		onEvent: text => {
			this.events.push(text);
		},
		async onEnd() {
			// The logs of the daemons aren't kept; the command keeps them.
		},
	});
});

Then('no task of the grown load ran twice at the same time', function (this: GrownWorld) {
	assert.deepEqual(this.grown.twice, []);
});

Then('each zone of the grown load earned its floor', function (this: GrownWorld) {
	const {ended} = this.grown;
	assert.ok(worstZoneEarned(ended) >= floorOfZone, JSON.stringify({worstZoneEarned: worstZoneEarned(ended), ...figuresOf(ended), events: this.events}));
});
