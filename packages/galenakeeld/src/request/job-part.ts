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
	/** Number of times that owners have redirected the tasks to another cell. */
	readonly moves: number;
	/** The last order for the part said that it can't be refused. */
	wasCommitted: boolean;
};

/**
Creates a part that no owner has had.
*/
export const createJobPart = ({name, cell, positions, moves}: {readonly name: string; readonly cell: string; readonly positions: Iterable<string>; readonly moves: number}): JobPart => ({
	name, cell, positions: new Set(positions), generation: 0, highestTokens: new Map(), moves, wasCommitted: false,
});
