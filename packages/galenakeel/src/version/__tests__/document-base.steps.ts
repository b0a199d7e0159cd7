import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import fastCheck from 'fast-check';
import {addBaseVersion, splitBaseVersion} from '../document-base.js';
import {describeDifference} from '../document-difference.js';

Then('adding and splitting off the base version returns any document text unchanged, with the version', () => {
	fastCheck.assert(fastCheck.property(fastCheck.string(), fastCheck.nat(), (text, version) => {
		assert.deepEqual(splitBaseVersion(addBaseVersion(text, version)), {text, version});
	}));
});

Then('the text {string} has no base version and stays unchanged', (text: string) => {
	assert.deepEqual(splitBaseVersion(text), {text, version: undefined});
});

Then('the difference between {string} and {string} removes the first and adds the second', (before: string, after: string) => {
	const lines = describeDifference({name: 'before', text: before}, {name: 'after', text: after}).split('\n');
	assert.ok(lines.includes(`-${before}`) && lines.includes(`+${after}`), lines.join('\n'));
});

Then('the difference between {string} and {string} is empty', (before: string, after: string) => {
	assert.equal(describeDifference({name: 'before', text: before}, {name: 'after', text: after}), '');
});
