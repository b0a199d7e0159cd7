import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Then, When} from '@cucumber/cucumber';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {isAddress} from '@galenakeel/model/version/address-schema.js';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import {PlacementPolicy} from '../placement-policy.js';
import {parseDaemonSettings} from '../daemon-settings.js';

type SettingsWorld = {faults: readonly string[]; code: number | undefined; output: string};

const daemonProgram = fileURLToPath(new URL('../main.js', import.meta.url));

Then('the settings {string} are valid for a zone of {string}', (path: string, region: string) => {
	assert.ok(parseDaemonSettings(readFileSync(path, 'utf8'), path).zone.startsWith(region));
});

Then('the document {string} has {int} zones and {int} endpoints of 8 slots and 64 connections', (path: string, zones: number, endpoints: number) => {
	const document = parseServiceDocument(readFileSync(path, 'utf8'), path);
	const all = Object.values(document.endpoints).flat();
	assert.equal(Object.keys(document.endpoints).length, zones);
	assert.equal(all.length, endpoints);
	assert.ok(all.every(endpoint => endpoint.slots === 8 && endpoint.connections === 64));
});

Then('the address {string} is valid', (address: string) => {
	assert.ok(isAddress(address));
});

Then('the address {string} is faulty', (address: string) => {
	assert.ok(!isAddress(address));
});

When('settings are read from:', function (this: SettingsWorld, text: string) {
	try {
		parseDaemonSettings(text, 'settings.jsonc');
		this.faults = [];
	} catch (error) {
		this.faults = detailOf(error).split('\n').slice(1);
	}
});

Then('exactly these faults are reported:', function (this: SettingsWorld, text: string) {
	assert.deepEqual(this.faults.filter(line => !line.includes('placement.policy')), text.split('\n'));
});

Then('a fault names the policies that "placement.policy" may have', function (this: SettingsWorld) {
	const line = this.faults.find(fault => fault.includes('placement.policy')) ?? '';
	assert.ok(line.startsWith('line 14, column 27: placement.policy: must be one of '), line);
	assert.ok(Object.values(PlacementPolicy).every(policy => line.includes(JSON.stringify(policy))), line);
});

Then('a fault at line {int}, column {int} says {string}', function (this: SettingsWorld, line: number, column: number, text: string) {
	assert.ok(this.faults.some(fault => fault.startsWith(`line ${line}, column ${column}: `) && fault.includes(text)), this.faults.join('\n'));
});

When('the daemon checks the settings file {string}', function (this: SettingsWorld, path: string) {
	const {status, stdout, stderr} = spawnSync(process.execPath, [daemonProgram, '--settings', path, '--check-settings'], {encoding: 'utf8'});
	this.code = status ?? undefined;
	this.output = stdout + stderr;
});

Then('the check ends with code {int} and prints {string}', function (this: SettingsWorld, code: number, text: string) {
	assert.equal(this.code, code, this.output);
	assert.ok(this.output.includes(text), this.output);
});
