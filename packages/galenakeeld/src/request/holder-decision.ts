/**
Decisions of the holder of a job that are logged.
*/
export enum HolderDecision {
	/** A part of the job was submitted to an owner. */
	PartSubmitted = 'part-submitted',
	/** An owner's redirect or the end of an assignment was read. */
	UpdateRead = 'part-update',
	/** An update of an earlier assignment was ignored. */
	UpdateIgnored = 'part-update-ignored',
	/** The owner of a part is lost, or no longer owns the cell. */
	OwnerLost = 'part-owner-lost',
}

/**
Tells whether a decision is one of the usual course of a job.
*/
export const isRoutineOfHolder = (decision: HolderDecision, {isRepeated, isUsual}: Readonly<Record<string, unknown>>): boolean =>
	(decision === HolderDecision.PartSubmitted && isRepeated === false) || (decision === HolderDecision.UpdateRead && isUsual === true);
