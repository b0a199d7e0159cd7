import type {Arrival} from '../request/arrival.js';
import type {Random} from '../request/random.js';

/**
What a task mix decides about an arrival.
*/
export type TaskDraw = Pick<Arrival, 'kind' | 'team' | 'runMilliseconds' | 'isLong'>;

/**
A distribution of tasks.
*/
export type TaskMix = {
	readonly draw: (random: Random) => TaskDraw;
	/** Mean run time at speed 1. */
	readonly meanRunMilliseconds: number;
	/** Run times that the service document declares, by kind. */
	readonly declared: Readonly<Record<string, number>>;
};

type RunRange = {readonly kind: string; readonly from: number; readonly to: number};

const defaultTeam = 'payroll';

// Each kind is drawn equally often; together they last from 50 ms to 1 s.
const ordinaryKinds: readonly RunRange[] = [
	{kind: 'reading', from: 50, to: 100},
	{kind: 'sheet', from: 100, to: 250},
	{kind: 'rejection', from: 250, to: 500},
	{kind: 'penalty', from: 500, to: 1000},
];
const shortKinds: readonly RunRange[] = [
	{kind: 'reading', from: 50, to: 100},
	{kind: 'sheet', from: 100, to: 200},
];
const longestFactor = 100;
const shortestFactor = 10;
const longBaseMilliseconds = 100;

// The reciprocal (log-uniform) distribution: density 1 / (x ln(to / from)).
const drawReciprocal = (random: Random, from: number, to: number): number => from * ((to / from) ** random.fraction());

const meanOfReciprocal = (from: number, to: number): number => (to - from) / Math.log(to / from);

const meanOf = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
};

const createMix = (kinds: readonly RunRange[], teams: readonly string[] = [defaultTeam]): TaskMix => ({
	draw(random) {
		const {kind, from, to} = random.pick(kinds);
		return {
			kind, team: random.pick(teams), runMilliseconds: drawReciprocal(random, from, to), isLong: false,
		};
	},
	meanRunMilliseconds: meanOf(kinds.map(({from, to}) => meanOfReciprocal(from, to))),
	declared: Object.fromEntries(kinds.map(({kind, from, to}) => [kind, Math.round(meanOfReciprocal(from, to))])),
});

/**
Creates the mix of tasks from 50 ms to 1 s, in four kinds that declare their mean.

@param teams Teams of the callers, drawn equally often.
*/
export const createOrdinaryMix = (teams?: readonly string[]): TaskMix => createMix(ordinaryKinds, teams);

/**
Creates the mix of tasks from 50 to 200 ms.
*/
export const createShortMix = (): TaskMix => createMix(shortKinds);

/**
Creates a mix of tasks that all run equally long.
*/
export const createFixedMix = (runMilliseconds: number): TaskMix => ({
	draw: () => ({
		kind: 'reading', team: defaultTeam, runMilliseconds, isLong: false,
	}),
	meanRunMilliseconds: runMilliseconds,
	declared: {reading: runMilliseconds},
});

/**
Creates a mix in which a share of the short tasks runs 10 to 100 times longer than their kind declares.

@param longShare Share of long tasks, from 0 to 1.

@example
```
const mix = createMixWithLong(0.05);
```
*/
export const createMixWithLong = (longShare: number): TaskMix => {
	const short = createShortMix();
	const from = longBaseMilliseconds * shortestFactor;
	const to = longBaseMilliseconds * longestFactor;
	return {
		draw(random) {
			const draw = short.draw(random);
			return random.fraction() < longShare ? {...draw, runMilliseconds: drawReciprocal(random, from, to), isLong: true} : draw;
		},
		meanRunMilliseconds: ((1 - longShare) * short.meanRunMilliseconds) + (longShare * meanOfReciprocal(from, to)),
		declared: short.declared,
	};
};
