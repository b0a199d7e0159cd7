import {createHeap, type Heap} from './heap.js';
import {
	TaskLength, type WaitingItem, type WaitingOrder, type WaitingTask,
} from './task-queue.js';

/** Waiting time that offsets one unit of expected run time. */
const ageingFactor = 2;
/** Maximum waiting time by which a longer task is placed behind a shorter one. */
const maximumSizePenaltyMilliseconds = 2000;
/** Number of tracked teams from which further undeclared teams share one queue, so that invented names can't displace the others. */
const maximumUndeclaredTeams = 128;
const overflowTeamName = '';
/** Credit for unused capacity: work, divided by its share, that a team may start ahead of the others after it has used less than its share, in milliseconds at speed 1. */
const burstMilliseconds = 2000;

const lengths = [TaskLength.Short, TaskLength.Long] as const;

type TeamQueue = {readonly heap: Heap<WaitingItem>; work: number};

type WaitingTeam = {
	readonly queues: Readonly<Record<TaskLength, TeamQueue>>;
	/** Work charged to the team, divided by its share. */
	virtualTime: number;
};

const keyOf = ({task}: WaitingItem): number =>
	task.arrivedAt + Math.min(maximumSizePenaltyMilliseconds, task.workMilliseconds * ageingFactor);

const createTeamQueue = (): TeamQueue => ({heap: createHeap(keyOf), work: 0});

const isWaiting = ({queues}: WaitingTeam): boolean => lengths.some(length => queues[length].heap.size() > 0);

/** Heads of a team's queues, in the order in which they start. */
const headsOf = ({queues}: WaitingTeam): readonly WaitingItem[] => {
	const short = queues[TaskLength.Short].heap.peek();
	const long = queues[TaskLength.Long].heap.peek();
	if (!short || !long) {
		return short ? [short] : (long ? [long] : []);
	}

	return keyOf(long) < keyOf(short) ? [long, short] : [short, long];
};

/**
Creates the order in which waiting tasks start: fair between teams by share, and within a team by expected run time with ageing.

Teams are served by start-time fair queueing (Goyal, Vin and Cheng, 1996): the next task comes from the team with the least work charged relative to its share. A team that starts to wait gets the virtual time of the team served last, minus a bounded credit for capacity that it has not used. Without the credit, the tasks of a burst would alternate with those of a team that floods the queue, although their own team is far below its share.

@param shareOf Returns the quota share that the document in force grants a team; `undefined` when it names none.

@example
```
const order = createWaitingOrder(team => document.quotas[team]?.share);
```
*/
export const createWaitingOrder = (shareOf: (team: string) => number | undefined): WaitingOrder => {
	const teams = new Map<string, WaitingTeam>();
	const waiting = new Map<string, WaitingTeam>();
	const totals: Record<TaskLength, {count: number; work: number}> = {[TaskLength.Short]: {count: 0, work: 0}, [TaskLength.Long]: {count: 0, work: 0}};
	/** Name under which a task waits: its team, or the overflow name when too many teams are tracked. */
	const nameByTask = new WeakMap<WaitingTask, string>();
	let virtualTime = 0;

	const nameOf = (team: string): string =>
		teams.has(team) || shareOf(team) !== undefined || teams.size < maximumUndeclaredTeams ? team : overflowTeamName;

	const earliestVirtualTime = (): number => virtualTime - burstMilliseconds;

	const shareOrDefault = (team: string): number => shareOf(team) ?? 1;

	const teamOf = (name: string): WaitingTeam => {
		let team = teams.get(name);
		if (!team) {
			team = {queues: {[TaskLength.Short]: createTeamQueue(), [TaskLength.Long]: createTeamQueue()}, virtualTime: earliestVirtualTime()};
			teams.set(name, team);
		}

		return team;
	};

	const updateTotals = (team: WaitingTeam, {length, workMilliseconds}: WaitingTask, sign: 1 | -1): void => {
		team.queues[length].work += sign * workMilliseconds;
		totals[length].work += sign * workMilliseconds;
		totals[length].count += sign;
	};

	/** Removes teams that have no waiting tasks and whose charged work no longer affects the order. */
	const removeIdleTeams = (): void => {
		for (const [name, team] of teams) {
			if (team.virtualTime <= earliestVirtualTime() && !waiting.has(name)) {
				teams.delete(name);
			}
		}
	};

	const findStartable = (team: WaitingTeam, canStart: (task: WaitingTask) => boolean): WaitingItem | undefined =>
		headsOf(team).find(({task}) => canStart(task));

	const leastServed = (): WaitingTeam | undefined => {
		let least: WaitingTeam | undefined;
		for (const team of waiting.values()) {
			if (!least || team.virtualTime < least.virtualTime) {
				least = team;
			}
		}

		return least;
	};

	return {
		add(item) {
			const name = nameOf(item.task.team);
			const team = teamOf(name);
			if (!waiting.has(name)) {
				team.virtualTime = Math.max(team.virtualTime, earliestVirtualTime());
				waiting.set(name, team);
			}

			nameByTask.set(item.task, name);
			team.queues[item.task.length].heap.add(item);
			updateTotals(team, item.task, 1);
		},
		peek(canStart) {
			const next = leastServed();
			const found = next && findStartable(next, canStart);
			if (found !== undefined || waiting.size < 2) {
				return found;
			}

			for (const team of [...waiting.values()].toSorted((first, second) => first.virtualTime - second.virtualTime)) {
				const later = findStartable(team, canStart);
				if (later) {
					return later;
				}
			}

			return undefined;
		},
		take({task}) {
			const name = nameByTask.get(task)!;
			const team = teams.get(name)!;
			team.queues[task.length].heap.shift();
			updateTotals(team, task, -1);
			virtualTime = Math.max(virtualTime, team.virtualTime);
			team.virtualTime += task.workMilliseconds / shareOrDefault(name);
			if (!isWaiting(team)) {
				waiting.delete(name);
			}
		},
		size: () => totals[TaskLength.Short].count + totals[TaskLength.Long].count,
		countOf(team, length) {
			const queues = waiting.get(nameOf(team))?.queues;
			let count = 0;
			for (const each of queues ? lengths : []) {
				count += length === undefined || each === length ? queues![each].heap.size() : 0;
			}

			return count;
		},
		count: length => totals[length].count,
		work: (length, team) => team === undefined ? totals[length].work : teams.get(nameOf(team))?.queues[length].work ?? 0,
		shareOf(team) {
			const name = nameOf(team);
			const own = shareOrDefault(name);
			let total = waiting.has(name) ? 0 : own;
			for (const other of waiting.keys()) {
				total += shareOrDefault(other);
			}

			return own / total;
		},
		correctUsage(team, differenceMilliseconds) {
			const name = nameOf(team);
			const known = teams.get(name);
			if (known) {
				known.virtualTime += differenceMilliseconds / shareOrDefault(name);
			}
		},
		remove(isRemoved) {
			const removed: WaitingItem[] = [];
			for (const [name, team] of waiting) {
				for (const length of lengths) {
					const gone = team.queues[length].heap.remove(({task}) => isRemoved(task));
					for (const {task} of gone) {
						updateTotals(team, task, -1);
					}

					removed.push(...gone);
				}

				if (!isWaiting(team)) {
					waiting.delete(name);
				}
			}

			removeIdleTeams();
			return removed;
		},
	};
};
