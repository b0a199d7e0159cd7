/**
The turns of a simulated event loop, as those of the runtime: it reads what has arrived, then runs the immediates that were set, then the timers that are due.
*/
import type {SeededRandom} from './seeded-random.js';

type Action = () => void;

type Arrival = {
	readonly action: Action;
	/** Whether the loop reads what follows of the source in a later turn. */
	readonly isLast: boolean;
};

type NextAction = {
	readonly action: Action;
	/** Whether it reads more of the source that the action before has read, in the same callback of the runtime. */
	readonly isContinued: boolean;
};

/**
An event loop whose actions are performed one by one.
*/
export type SimulatedTurns = {
	/** Adds an arrival of a source, for instance of a socket. */
	readonly addArrival: (source: string, action: Action, isLast: boolean) => void;
	readonly addTimer: (action: Action) => void;
	readonly addImmediate: (action: Action) => void;
	readonly hasActions: () => boolean;
	/** Takes the next action. Call it only if there is one. */
	readonly takeAction: () => NextAction;
};

/** Parts of a turn, in their order. */
enum Phase {
	/** Arrivals are read. */
	Poll = 'poll',
	/** Immediates run. */
	Check = 'check',
	/** Timers run. */
	Timers = 'timers',
}

/**
Creates an idle event loop.

The sources of which something has arrived when the reading begins are read one after the other, in any order. What arrives meanwhile at a source whose time is yet to come is read with it; what arrives at the others is read in the next turn (libuv: `uv__io_poll` asks once for the sources that are ready, and `uv__read` reads all that a source has by then).

@example
```
const turns = createSimulatedTurns(random);
turns.addArrival('caller 1', read, false);
turns.takeAction().action();
```
*/
export const createSimulatedTurns = (random: SeededRandom): SimulatedTurns => {
	const arrivals = new Map<string, Arrival[]>();
	let timers: Action[] = [];
	let immediates: Action[] = [];
	let phase = Phase.Poll;
	/** Sources that are still to be read in this turn; the first one is being read. */
	let sources: string[] = [];
	/** Whether some of the first source has been read. */
	let isContinued = false;
	/** Immediates or timers that still run in this phase. */
	let actions: Action[] = [];

	const hasActions = (): boolean => arrivals.size > 0 || timers.length > 0 || immediates.length > 0 || actions.length > 0;

	const shuffle = (names: readonly string[]): string[] => {
		const left = [...names];
		const shuffled: string[] = [];
		while (left.length > 0) {
			shuffled.push(...left.splice(random.integer(0, left.length - 1), 1));
		}

		return shuffled;
	};

	const takeArrival = (): NextAction | undefined => {
		const [source] = sources;
		if (source === undefined) {
			return undefined;
		}

		const [{action, isLast}, ...rest] = arrivals.get(source) as [Arrival, ...Arrival[]];
		if (rest.length > 0) {
			arrivals.set(source, rest);
		} else {
			arrivals.delete(source);
		}

		const next: NextAction = {action, isContinued};
		isContinued = !isLast && rest.length > 0;
		if (!isContinued) {
			sources.shift();
		}

		return next;
	};

	const beginNextPhase = (): void => {
		switch (phase) {
			case Phase.Poll: {
				phase = Phase.Check;
				actions = immediates;
				immediates = [];
				break;
			}

			case Phase.Check: {
				phase = Phase.Timers;
				actions = timers;
				timers = [];
				break;
			}

			case Phase.Timers: {
				phase = Phase.Poll;
				sources = shuffle([...arrivals.keys()]);
			}
		}
	};

	const takeOther = (): NextAction | undefined => {
		const action = actions.shift();
		return action && {action, isContinued: false};
	};

	const takeAction = (): NextAction => {
		for (;;) {
			const next = phase === Phase.Poll ? takeArrival() : takeOther();
			if (next) {
				return next;
			}

			beginNextPhase();
		}
	};

	return {
		addArrival(source, action, isLast) {
			arrivals.set(source, [...arrivals.get(source) ?? [], {action, isLast}]);
		},
		addTimer(action) {
			timers.push(action);
		},
		addImmediate(action) {
			immediates.push(action);
		},
		hasActions,
		takeAction,
	};
};
