#!/usr/bin/env node
import {cp, readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SoakRule} from '../request/check-soak.js';
import {parseSiteDay, smallSites, type SmallSiteName} from '../version/site-day.js';
import {runSiteDay} from './site-day-run.js';

const shownViolations = 20;

const {values} = parseArgs({
	options: {
		/** Day file with the freezes and the length. */
		day: {type: 'string'},
		/** "four-zones" or "three-zones". */
		site: {type: 'string', default: 'four-zones'},
		seed: {type: 'string', default: '1'},
		/** Share of a core that each daemon gets. */
		core: {type: 'string', default: '0.675'},
		/** Factor of the site's load. */
		load: {type: 'string', default: '1'},
		/** Directory to which the daemons' settings and logs are copied if there are violations. */
		logs: {type: 'string'},
	},
});

if (values.day === undefined) {
	throw new Error('name the day file with --day');
}

const seed = Number(values.seed);
const {jobs, runs, violations} = await runSiteDay({
	seed,
	zones: smallSites[values.site as SmallSiteName],
	day: parseSiteDay(await readFile(values.day, 'utf8')),
	coreShare: Number(values.core),
	loadFactor: Number(values.load),
	onFreeze(instances) {
		process.stderr.write(`${new Date().toISOString()} ${instances.join(', ')}\n`);
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
const countAnswers = (isCounted: (state: string | undefined, status: number | undefined) => boolean): number => jobs.filter(({calls}) => isCounted(calls.at(-1)!.state, calls.at(-1)!.status)).length;
process.stdout.write(`${JSON.stringify({
	seed,
	jobs: jobs.length,
	calls: jobs.reduce((sum, {calls}) => sum + calls.length, 0),
	runs: runs.length,
	complete: countAnswers(state => state === 'complete'),
	rejected: countAnswers((_, status) => status === 429 || status === 503),
	unanswered: countAnswers((_, status) => status === undefined),
	violations: violations.length,
	twice: count(SoakRule.Twice),
	refused: count(SoakRule.Refused),
	incomplete: count(SoakRule.Incomplete),
})}\n`);
process.exitCode = violations.length > 0 ? 1 : 0;
