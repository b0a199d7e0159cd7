#!/usr/bin/env node
import {cp} from 'node:fs/promises';
import {loadavg} from 'node:os';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	figuresBySecond, figuresOf, isShort, worstZoneEarned,
} from '../version/grown-figures.js';
import {GrownFault} from '../version/grown-plan.js';
import {floorOfZone} from '../version/grown-site.js';
import {runGrown, type GrownResult} from './grown-run.js';
import type {ProcessorUse} from './processor-samples.js';

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '30'},
		zones: {type: 'string', default: '1'},
		daemons: {type: 'string', default: '9'},
		endpoints: {type: 'string', default: '61'},
		/** Mean number of jobs of a zone in a second. */
		rate: {type: 'string', default: '140'},
		/** Share of this machine's core that stands for a core of the site. */
		core: {type: 'string', default: '1'},
		/** Kinds of faults, separated by commas; `all` for every kind. */
		faults: {type: 'string', default: ''},
		/** Directory to which the daemons write profiles of their processor time. */
		profile: {type: 'string'},
		/** Directory to which the daemons' settings and logs are copied. */
		logs: {type: 'string'},
	},
});

const shownTwice = 10;

const parseFaults = (text: string): readonly GrownFault[] => {
	const names = text === 'all' ? Object.values(GrownFault) : text.split(',').filter(name => name !== '');
	const unknown = names.find(name => !Object.values<string>(GrownFault).includes(name));
	if (unknown !== undefined) {
		throw new Error(`unknown fault ${unknown}; use ${Object.values(GrownFault).join(', ')} or all`);
	}

	return names as readonly GrownFault[];
};

const say = (text: string): void => {
	process.stderr.write(`${text}\n`);
};

const round = (value: number): number => Number(value.toFixed(3));
const sum = (numbers: Iterable<number>): number => [...numbers].reduce((total, one) => total + one, 0);

/** What the owners of all cells used of the processor in a second. */
const ownersUse = ({samples, owners}: GrownResult, second: number): readonly ProcessorUse[] =>
	[...owners[second] ?? []].flatMap(owner => samples[second]?.get(owner) ?? []);

const usedIn = (uses: Iterable<ProcessorUse>): number => Math.round(sum([...uses].map(({usedMilliseconds}) => usedMilliseconds)));
const waitedIn = (uses: Iterable<ProcessorUse>): number => Math.round(sum([...uses].map(({waitedMilliseconds}) => waitedMilliseconds)));

const seed = Number(values.seed);
const seconds = Number(values.seconds);
const result = await runGrown({
	seed,
	seconds,
	zones: Array.from({length: Number(values.zones)}, (_, position) => `zone-${position + 1}`),
	daemonsInZone: Number(values.daemons),
	endpointsInZone: Number(values.endpoints),
	jobsPerSecond: Number(values.rate),
	coreShare: Number(values.core),
	faults: parseFaults(values.faults),
	nodeArguments: values.profile === undefined ? [] : ['--cpu-prof', '--cpu-prof-dir', values.profile],
	isGraceful: values.profile !== undefined,
	onEvent: say,
	async onEnd(directory) {
		if (values.logs !== undefined) {
			await cp(directory, values.logs, {recursive: true});
		}
	},
});

const bySecond = figuresBySecond(result.ended, seconds);
say('second jobs inAim served earned late refused unanswered ownersUsedMs ownersWaitedMs allUsedMs');
for (const [second, figures] of bySecond.entries()) {
	say([
		second, figures.jobs, round(figures.inAim), round(figures.served), round(figures.earned), figures.late, figures.refused, figures.unanswered, usedIn(ownersUse(result, second)), waitedIn(ownersUse(result, second)), usedIn(result.samples[second]?.values() ?? []),
	].join(' '));
}

for (const {detail} of result.twice.slice(0, shownTwice)) {
	say(`twice: ${detail}`);
	const task = detail.split(' ', 1)[0]!;
	for (const {endpoint, attempt, startedAt, endedAt, end} of result.runs.filter(run => run.task === task)) {
		say(`  ${endpoint} attempt ${attempt} from ${Math.round(startedAt)} to ${Math.round(endedAt ?? Number.NaN)}: ${end}`);
	}
}

say([...result.events].map(([event, count]) => `${event} ${count}`).join(', '));
const total = figuresOf(result.ended);
const worstZone = worstZoneEarned(result.ended);
const tasks = result.runs.length;
const ownersUses = result.samples.flatMap((_, second) => ownersUse(result, second));
process.stdout.write(`${JSON.stringify({
	seed,
	jobs: total.jobs,
	inAim: round(total.inAim),
	served: round(total.served),
	earned: round(total.earned),
	worstZoneEarned: round(worstZone),
	late: total.late,
	refused: total.refused,
	unanswered: total.unanswered,
	twice: result.twice.length,
	shortSeconds: bySecond.filter(figures => isShort(figures)).length,
	ownExits: result.ownExits.length,
	claims: result.events.get('cell-claimed') ?? 0,
	peersLost: result.events.get('peer-lost') ?? 0,
	tasks,
	ownerProcessorMillisecondsPerTask: round(usedIn(ownersUses) / tasks),
	processorMillisecondsPerTask: round(usedIn(result.samples.flatMap(sample => [...sample.values()])) / tasks),
	ownerWaitedShare: round(waitedIn(ownersUses) / Math.max(1, usedIn(ownersUses))),
	loadAverage: round(loadavg()[0]!),
})}\n`);
process.exitCode = result.twice.length > 0 || worstZone < floorOfZone ? 1 : 0;
