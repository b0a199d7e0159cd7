import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import fastCheck from 'fast-check';
import {addBaseVersion, splitBaseVersion} from '../document-base.js';
import {describeDifference} from '../document-difference.js';

Then('any document text gets back unchanged from its working copy, with the version', () => {
	fastCheck.assert(fastCheck.property(fastCheck.string(), fastCheck.nat(), (text, version) => {
		assert.deepEqual(splitBaseVersion(addBaseVersion(text, version)), {text, version});
	}));
});

Then('the text {string} says no version and stays as it is', (text: string) => {
	assert.deepEqual(splitBaseVersion(text), {text, version: undefined});
});

Then('the difference between {string} and {string} removes the one and adds the other', (before: string, after: string) => {
	const lines = describeDifference({name: 'before', text: before}, {name: 'after', text: after}).split('\n');
	assert.ok(lines.includes(`-${before}`) && lines.includes(`+${after}`), lines.join('\n'));
});

Then('the difference between {string} and {string} is empty', (before: string, after: string) => {
	assert.equal(describeDifference({name: 'before', text: before}, {name: 'after', text: after}), '');
});
