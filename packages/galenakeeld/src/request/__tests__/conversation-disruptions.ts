/**
Disruptions of a simulated fleet, planned from a seed.
*/
import type {ConversationHistory} from './conversation-history.js';
import type {SeededRandom} from './seeded-random.js';
import type {SimulatedDaemon} from './simulated-daemon.js';
import {drawSlowActions} from './slow-actions.js';
import type {SimulatedEndpoint} from './simulated-endpoint.js';
import type {SimulatedStreams} from './simulated-streams.js';

/**
Kinds of disruptions.
*/
export enum Disruption {
	/** The streams between two daemons break, in one direction or in both. */
	Break = 'break',
	/** What one daemon sends to another is held up. */
	HoldUp = 'hold-up',
	/** What two daemons send to each other is held up. */
	Cut = 'cut',
	/** A daemon stands still. */
	Stop = 'stop',
	/** An owner gives up its cell, and another daemon claims it. */
	Replace = 'replace',
	/** Some daemons are slow: their actions take time, and a turn of an event loop up to a second and more. */
	Slow = 'slow',
	/** An endpoint leaves calls unanswered and carries them out late. */
	Late = 'late',
	/** Streams break while messages about jobs are on their way. */
	Fragile = 'fragile',
}

/**
A disruption that is planned. Times are monotonic milliseconds.
*/
export type PlannedDisruption = {
	readonly startsAt: number;
	readonly endsAt: number;
	/** The daemons that it concerns, which are few or all. */
	readonly daemons: readonly SimulatedDaemon[];
};

/** The kinds by default; several entries of a kind make it likelier. */
const usualKinds = [Disruption.Break, Disruption.HoldUp, Disruption.Cut, Disruption.Stop, Disruption.Stop, Disruption.Stop, Disruption.Replace, Disruption.Fragile, Disruption.Fragile] as const;

export type DisruptionOptions = {
	readonly random: SeededRandom;
	readonly daemons: readonly SimulatedDaemon[];
	readonly endpoints: readonly SimulatedEndpoint[];
	readonly streams: SimulatedStreams;
	readonly history: ConversationHistory;
	/** Monotonic milliseconds between which disruptions begin. */
	readonly from: number;
	readonly to: number;
	/** Kinds from which is drawn; several entries of a kind make it likelier. */
	readonly kinds?: readonly Disruption[];
};

/**
Schedules disruptions outside of all processes, and returns them.

@example
```
const planned = scheduleDisruptions({random, daemons, endpoints, streams, history, from: 2000, to: 6000});
```
*/
export const scheduleDisruptions = ({random, daemons, endpoints, streams, history, from, to, kinds = usualKinds}: DisruptionOptions): readonly PlannedDisruption[] => {
	const planned: PlannedDisruption[] = [];

	const schedule = (at: number, text: string, action: () => void): void => {
		setTimeout(() => {
			history.record(undefined, `*** ${text}`);
			action();
		}, at);
	};

	const pickTwo = (): readonly [SimulatedDaemon, SimulatedDaemon] => {
		const first = random.pick(daemons);
		return [first, random.pick(daemons.filter(daemon => daemon !== first))];
	};

	const scheduleOne = (kind: Disruption, at: number): void => {
		const [first, second] = pickTwo();
		const plan = (milliseconds: number, concerned: readonly SimulatedDaemon[]): void => {
			planned.push({startsAt: at, endsAt: at + milliseconds, daemons: concerned});
		};

		const firstName = first.process.name;
		const secondName = second.process.name;
		switch (kind) {
			case Disruption.Break: {
				const isBoth = random.isChosen(0.5);
				plan(0, [first, second]);
				schedule(at, `break ${firstName} -> ${secondName}${isBoth ? ' and back' : ''}`, () => {
					streams.breakStream(firstName, secondName);
					if (isBoth) {
						streams.breakStream(secondName, firstName);
					}
				});
				return;
			}

			case Disruption.HoldUp:
			case Disruption.Cut: {
				const milliseconds = random.integer(50, random.isChosen(0.5) ? 590 : 2500);
				plan(milliseconds, [first, second]);
				schedule(at, `hold up ${firstName} -> ${secondName} ${kind === Disruption.Cut ? 'and back ' : ''}for ${milliseconds} ms`, () => {
					streams.holdUp(firstName, secondName, milliseconds);
					if (kind === Disruption.Cut) {
						streams.holdUp(secondName, firstName, milliseconds);
					}
				});
				return;
			}

			case Disruption.Stop: {
				const milliseconds = random.integer(300, random.isChosen(0.5) ? 1500 : 3000);
				plan(milliseconds, [first]);
				schedule(at, `stop ${firstName} for ${milliseconds} ms`, () => {
					first.process.stop();
				});
				schedule(at + milliseconds, `resume ${firstName}`, () => {
					first.process.resume();
				});
				return;
			}

			case Disruption.Slow: {
				const milliseconds = random.integer(500, 4000);
				const slow = random.isChosen(0.4) ? [first] : [first, ...daemons.filter(daemon => daemon !== first && random.isChosen(0.6))];
				plan(milliseconds, [first]);
				schedule(at, `${slow.map(({process}) => process.name).join(', ')} slow for ${milliseconds} ms`, () => {
					for (const {process} of slow) {
						process.setActionTime(drawSlowActions(random));
					}
				});
				schedule(at + milliseconds, `${slow.map(({process}) => process.name).join(', ')} fast again`, () => {
					for (const {process} of slow) {
						process.setActionTime(undefined);
					}
				});
				return;
			}

			case Disruption.Late: {
				const milliseconds = random.integer(500, 4000);
				const late = endpoints.filter(() => random.isChosen(0.5));
				plan(milliseconds, [first]);
				schedule(at, `${late.map(({identifier}) => identifier).join(', ')} late for ${milliseconds} ms`, () => {
					for (const endpoint of late) {
						endpoint.carryOutLate(milliseconds);
					}
				});
				return;
			}

			case Disruption.Replace: {
				plan(0, [first]);
				schedule(at, `${firstName} gives up its cells`, () => {
					first.process.execute('disruptions', first.yieldCells);
				});
				return;
			}

			case Disruption.Fragile: {
				const milliseconds = random.integer(200, 2000);
				plan(milliseconds, daemons);
				schedule(at, `streams break while messages are on their way, for ${milliseconds} ms`, () => {
					streams.breakOnMessages(milliseconds);
				});
			}
		}
	};

	const count = random.integer(2, 7);
	for (let number = 0; number < count; number++) {
		scheduleOne(random.pick(kinds), random.integer(from, to));
	}

	return planned;
};
