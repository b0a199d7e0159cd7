import {performance} from 'node:perf_hooks';
import type {CellOwner} from '../process/fleet/held-jobs.js';

/**
Runs that an owner may have started for a part before it was assigned anew.
*/
export type EarlierRuns = {
	/** The owner that started them; it knows of them as long as its term lasts. */
	readonly owner: Pick<CellOwner, 'address' | 'term'>;
	/** Monotonic milliseconds by which each of them has ended. */
	readonly endAt: number;
};

/**
A subset of a job's tasks, assigned to one owner at a time.
*/
export type JobPart = {
	/** Unique within the job at its holder. */
	readonly name: string;
	cell: string;
	/** Tasks that this daemon doesn't know to have succeeded. */
	readonly positions: Set<string>;
	/** Number of owners lost while the part was assigned to them. */
	generation: number;
	/** Highest fencing token of these owners, by cell, since the endpoints of one cell never receive the tokens of another. */
	readonly highestTokens: Map<string, number>;
	/** Runs of these owners. */
	readonly earlierRuns: EarlierRuns[];
	/** Number of times that owners have redirected the tasks to another cell. */
	readonly moves: number;
	/** The last order for the part said that it can't be refused. */
	wasCommitted: boolean;
};

/** What a part begins with. */
export type JobPartOptions = Pick<JobPart, 'name' | 'cell' | 'moves'> & {
	readonly positions: Iterable<string>;
	/** What earlier owners may have started of these tasks, as part of another one; none by default. */
	readonly earlierRuns?: readonly EarlierRuns[];
};

/**
Creates a part that no owner has had.

@example
```
const part = createJobPart({name: '0', cell: 'ie-south-a', positions: ['0.0', '0.1'], moves: 0});
```
*/
export const createJobPart = ({name, cell, positions, moves, earlierRuns = []}: JobPartOptions): JobPart => ({
	name, cell, positions: new Set(positions), generation: 0, highestTokens: new Map(), earlierRuns: [...earlierRuns], moves, wasCommitted: false,
});

/**
Returns the milliseconds until each run of a part has ended that other owners than this one may have started. An owner knows what it has started itself in its present term.

@example
```
earlierRunsMilliseconds(part, owner); // => 840
```
*/
export const earlierRunsMilliseconds = ({earlierRuns}: JobPart, owner: CellOwner): number => {
	const ends = earlierRuns
		.filter(({owner: {address, term}}) => address !== owner.address || term !== owner.term)
		.map(({endAt}) => endAt - performance.now());
	return Math.ceil(Math.max(0, ...ends));
};
