import type {WaveLoad} from './grown-plan.js';

/**
Time for which daemons stand still.
*/
export type PlannedFreeze = {
	/** Milliseconds from the start of the load. */
	readonly at: number;
	readonly forMilliseconds: number;
	/** Share of the daemons, rounded up. */
	readonly share: number;
};

/**
A day of a site: how long its load lasts, and when daemons stand still.
*/
export type SiteDay = {
	readonly seconds: number;
	readonly freezes: readonly PlannedFreeze[];
};

/**
A zone of a small site.
*/
export type SiteZone = {
	readonly name: string;
	readonly daemons: number;
	readonly endpoints: number;
	readonly load: Omit<WaveLoad, 'seconds'>;
};

/**
Names of the small sites.
*/
export enum SmallSiteName {
	FourZones = 'four-zones',
	ThreeZones = 'three-zones',
}

const swing = 0.55;
const firstPhase = 0.1;
const phaseOfZone = 0.08;

const createZones = (periodSeconds: number, endpoints: number, zones: ReadonlyArray<Pick<SiteZone, 'name' | 'daemons'> & {readonly jobsPerSecond: number}>): readonly SiteZone[] =>
	zones.map(({name, daemons, jobsPerSecond}, position) => ({
		name, daemons, endpoints, load: {
			jobsPerSecond, swing, periodSeconds, phase: firstPhase + (position * phaseOfZone),
		},
	}));

/**
The small sites by name.
*/
export const smallSites: Readonly<Record<SmallSiteName, readonly SiteZone[]>> = {
	[SmallSiteName.FourZones]: createZones(17, 8, [
		{name: 'a', daemons: 3, jobsPerSecond: 17.9},
		{name: 'b', daemons: 2, jobsPerSecond: 23.7},
		{name: 'c', daemons: 2, jobsPerSecond: 20.3},
		{name: 'd', daemons: 2, jobsPerSecond: 24.7},
	]),
	[SmallSiteName.ThreeZones]: createZones(15, 11, [
		{name: 'a', daemons: 2, jobsPerSecond: 24.3},
		{name: 'b', daemons: 2, jobsPerSecond: 28.9},
		{name: 'c', daemons: 2, jobsPerSecond: 33.5},
	]),
};

const millisecondsOfSecond = 1000;
const lengthPattern = /^length_s = (?<seconds>[\d.]+)/mv;
const freezePattern = /at = (?<at>[\d.]+), kind = "node_freeze", share = (?<share>[\d.]+), for_s = (?<seconds>[\d.]+)/gv;

/**
Reads the length and the freezes of a day from a day file of the users' bench; other disruptions are left out.

@throws When the text has no length or no freeze.

@example
```
const {freezes} = parseSiteDay(await readFile('review/1/day.toml', 'utf8'));
```
*/
export const parseSiteDay = (text: string): SiteDay => {
	const seconds = lengthPattern.exec(text)?.groups!.seconds;
	const freezes = [...text.matchAll(freezePattern)].map(({groups}): PlannedFreeze => ({
		at: Number(groups!.at) * millisecondsOfSecond, forMilliseconds: Number(groups!.seconds) * millisecondsOfSecond, share: Number(groups!.share),
	}));
	if (seconds === undefined || freezes.length === 0) {
		throw new Error('the day file has no length_s or no node_freeze');
	}

	return {seconds: Number(seconds), freezes};
};

/**
Creates a day with freezes of equal length, one after the other.

@param startMilliseconds Start of the first freeze.
@param gapMilliseconds Time from the start of one freeze to that of the next.

@example
```
createFreezeDay(20, {startMilliseconds: 2000, gapMilliseconds: 2200, forMilliseconds: 900, share: 0.1}).freezes.length; // => 8
```
*/
export const createFreezeDay = (seconds: number, {startMilliseconds, gapMilliseconds, forMilliseconds, share}: {
	readonly startMilliseconds: number;
	readonly gapMilliseconds: number;
} & Omit<PlannedFreeze, 'at'>): SiteDay => {
	const freezes: PlannedFreeze[] = [];
	for (let at = startMilliseconds; at + forMilliseconds < seconds * millisecondsOfSecond; at += gapMilliseconds) {
		freezes.push({at, forMilliseconds, share});
	}

	return {seconds, freezes};
};
