/**
Decisions of the holder of a job that are logged.
*/
export enum HolderDecision {
	/** A part of the job was submitted to an owner. */
	PartSubmitted = 'part-submitted',
	/** An owner's refusal, end or redirect of a part was read. */
	UpdateRead = 'part-update',
	/** The owner of a part is lost, or no longer owns the cell. */
	OwnerLost = 'part-owner-lost',
}
