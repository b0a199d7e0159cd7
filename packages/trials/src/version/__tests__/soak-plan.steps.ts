import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {planSoak, SoakFault, type PlannedFault} from '../soak-plan.js';
import {SoakProfileName, soakProfiles} from '../soak-profile.js';

const planAny = (seed: number, milliseconds: number): readonly PlannedFault[] => planSoak(seed, milliseconds, soakProfiles[SoakProfileName.Any]);

Then('two plans of {int} ms with seed {int} are the same, and one with seed {int} is another', (milliseconds: number, seed: number, otherSeed: number) => {
	assert.deepEqual(planAny(seed, milliseconds), planAny(seed, milliseconds));
	assert.notDeepEqual(planAny(seed, milliseconds), planAny(otherSeed, milliseconds));
});

Then('in a plan of {int} ms with seed {int} some faults begin before the one before has ended, and some after', (milliseconds: number, seed: number) => {
	const plan = planAny(seed, milliseconds);
	const overlaps = new Set(plan.slice(1).map(({at}, index) => at < plan[index]!.at + plan[index]!.forMilliseconds));
	assert.ok(overlaps.has(true));
	assert.ok(overlaps.has(false));
});

Then('{int} plans of {int} ms have every kind of fault in them', (plans: number, milliseconds: number) => {
	const planned = new Set(Array.from({length: plans}, (_, seed) => planAny(seed, milliseconds).map(({fault}) => fault)).flat());
	assert.deepEqual([...planned].toSorted(), Object.values(SoakFault).toSorted());
});
