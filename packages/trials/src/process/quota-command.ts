/**
Kinds of commands to the process that holds others to their share of a core.
*/
export enum QuotaCommandKind {
	/** Holds a process to a share of a core. */
	Limit = 'limit',
	/** Stops a process for some time, whatever its quota. */
	Stall = 'stall',
}

/**
A command to the process that holds others to their share of a core.
*/
export type QuotaCommand
	= | {readonly kind: QuotaCommandKind.Limit; readonly processIdentifier: number; readonly share: number}
		| {readonly kind: QuotaCommandKind.Stall; readonly processIdentifier: number; readonly milliseconds: number};
