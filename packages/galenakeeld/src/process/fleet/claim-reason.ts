import type {LossCause} from './cell-claims.js';

/**
Why a daemon claims a cell, or raises the token of its claim.
*/
export enum ClaimCause {
	/** No daemon is known to own the cell, or to have owned it. */
	NoOwner = 'no-owner',
	/** The daemon that owned the cell is lost. */
	OwnerLost = 'owner-lost',
	/** The owner is reachable, but it leaves or is of another zone. */
	OwnerReplaced = 'owner-replaced',
	/** Another daemon claims the cell with a higher token; the claim stays with a raised one. */
	HigherToken = 'higher-token',
	/** A holder submitted a job with a higher token of an earlier owner; the claim stays with a raised one. */
	SubmittedToken = 'submitted-token',
	/** Endpoints have accepted a higher token of an unreachable daemon; the claim stays with a raised one. */
	Fenced = 'fenced',
}

/**
The daemon that owned a cell, with its loss if it is lost.
*/
export type FormerOwner = {
	/** Undefined if the owner is known only from what endpoints accept. */
	readonly address: string | undefined;
	readonly loss?: {
		readonly cause: LossCause;
		/** Time between its last heartbeat and its loss. */
		readonly silentMilliseconds: number;
		/** Time since its loss. */
		readonly ageMilliseconds: number;
	};
};

export type ClaimReason = {
	readonly cause: ClaimCause;
	readonly formerOwner?: FormerOwner;
};
