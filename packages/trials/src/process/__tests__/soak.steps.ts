import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import type {SoakProfileName} from '../../version/soak-profile.js';
import {runSoak, type SoakResult} from '../soak-run.js';

type SoakedWorld = {
	soaked: SoakResult;
	struck: string[];
};

const millisecondsOfSecond = 1000;

When('daemons are soaked by the profile {string} for {int} s with seed {int}', {timeout: 180_000}, async function (this: SoakedWorld, profile: SoakProfileName, seconds: number, seed: number) {
	this.struck = [];
	this.soaked = await runSoak({
		seed,
		profile,
		milliseconds: seconds * millisecondsOfSecond,
		zones: ['north', 'south'],
		daemonsInZone: 2,
		workersInZone: 4,
		onFault: (fault, target) => {
			this.struck.push(`${fault} ${target}`);
		},
		async onEnd() {
			// The logs of the daemons aren't kept; the command of the soak keeps them.
		},
	});
});

Then('at least {int} faults struck', function (this: SoakedWorld, faults: number) {
	assert.ok(this.soaked.faults >= faults, this.struck.join(', '));
});

Then('no promise was broken', function (this: SoakedWorld) {
	assert.deepEqual(this.soaked.violations, [], this.struck.join(', '));
});
