#!/usr/bin/env node
import {cp} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SoakRule} from '../request/check-soak.js';
import type {SoakProfileName} from '../version/soak-profile.js';
import {runSoak} from './soak-run.js';

const millisecondsOfMinute = 60_000;
const shownViolations = 20;

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '1'},
		/** What is done to the fleet, and what callers ask for: "any" or "moves". */
		profile: {type: 'string', default: 'any'},
		zones: {type: 'string', default: 'north,south'},
		daemons: {type: 'string', default: '2'},
		endpoints: {type: 'string', default: '4'},
		/** Directory to which the daemons' settings and logs are copied if there are violations. */
		logs: {type: 'string'},
	},
});

const seed = Number(values.seed);
const {jobs, faults, violations} = await runSoak({
	seed,
	profile: values.profile as SoakProfileName,
	milliseconds: Number(values.minutes) * millisecondsOfMinute,
	zones: values.zones.split(','),
	daemonsInZone: Number(values.daemons),
	workersInZone: Number(values.endpoints),
	onFault(fault, target) {
		process.stderr.write(`${new Date().toISOString()} ${fault} ${target}\n`);
	},
	async onEnd(directory, found) {
		if (values.logs !== undefined && found.length > 0) {
			await cp(directory, values.logs, {recursive: true});
		}
	},
});
for (const {rule, detail} of violations.slice(0, shownViolations)) {
	process.stderr.write(`${rule}: ${detail}\n`);
}

const count = (wanted: SoakRule): number => violations.filter(({rule}) => rule === wanted).length;
process.stdout.write(`${JSON.stringify({
	seed, jobs, faults, violations: violations.length, lost: count(SoakRule.Lost), twice: count(SoakRule.Twice), refused: count(SoakRule.Refused), incomplete: count(SoakRule.Incomplete),
})}\n`);
process.exitCode = violations.length > 0 ? 1 : 0;
