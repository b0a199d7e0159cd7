#!/usr/bin/env node
import {cp, readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SoakRule, type SoakCall} from '../request/check-soak.js';
import {patientCallers} from '../request/departure.js';
import {parseSiteDay, sites, type SiteName} from '../version/site-day.js';
import {runSiteDay} from './site-day-run.js';

const shownViolations = 20;

const {values} = parseArgs({
	options: {
		/** Day file with the freezes, the slow daemons and the length. */
		day: {type: 'string'},
		/** "four-zones", "three-zones" or "grown-zones". */
		site: {type: 'string', default: 'four-zones'},
		seed: {type: 'string', default: '1'},
		/** Share of a core that each daemon gets; that of the site by default. */
		core: {type: 'string'},
		/** Factor of the site's load. */
		load: {type: 'string', default: '1'},
		/** Time for which callers wait, in milliseconds; that of the site by default. */
		wait: {type: 'string'},
		/** Share of the calls whose caller closes its connection before the wait that it announced is over. */
		early: {type: 'string', default: '0'},
		/** Share of the calls whose caller leaves without closing its connection. */
		silent: {type: 'string', default: '0'},
		/** Directory to which the daemons' settings and logs are copied if there are violations. */
		logs: {type: 'string'},
	},
});

if (values.day === undefined) {
	throw new Error('name the day file with --day');
}

const seed = Number(values.seed);
const site = sites[values.site as SiteName];
const {core, wait} = values;
const {jobs, runs, violations} = await runSiteDay({
	seed,
	site: core === undefined ? site : {...site, coreShareAt: () => Number(core)},
	day: parseSiteDay(await readFile(values.day, 'utf8')),
	loadFactor: Number(values.load),
	habits: {
		waitOf: wait === undefined ? patientCallers.waitOf : () => Number(wait),
		earlyShare: Number(values.early),
		silentShare: Number(values.silent),
	},
	onDisruption(kind, instances) {
		process.stderr.write(`${new Date().toISOString()} ${kind} ${instances.join(', ')}\n`);
	},
	async onEnd(directory, found) {
		if (values.logs !== undefined && found.length > 0) {
			await cp(directory, values.logs, {recursive: true});
		}
	},
});
/** A detail begins with the identifier of a job, or with a task, whose name begins with it. */
const findCalls = (detail: string): readonly SoakCall[] => jobs.find(({identifier}) => detail.startsWith(identifier))?.calls ?? [];
for (const {rule, detail} of violations.slice(0, shownViolations)) {
	process.stderr.write(`${rule}: ${detail}\n`);
	for (const {daemon, sentAt, endedAt, status} of findCalls(detail)) {
		process.stderr.write(`  call to ${daemon} from ${Math.round(sentAt)} to ${Math.round(endedAt)}, ${status ?? 'no answer'}\n`);
	}
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
