/**
How often a daemon sends beats to a peer.
*/
export type HeartbeatInterval = {
	readonly heartbeatMilliseconds: number;
	/** Silence after which the peer may count this daemon as lost. */
	readonly silentAfterMilliseconds: number;
};

/**
A daemon as the pace between two of them depends on it.
*/
export type DaemonRole = {
	readonly zone: string;
	/** It orders the endpoints of a cell. */
	readonly isOwner: boolean;
};

/** Between daemons that need to know of each other's loss at once. */
export const shortInterval: HeartbeatInterval = {heartbeatMilliseconds: 200, silentAfterMilliseconds: 700};
/** Between all others, so that their messages don't grow with the square of the fleet. */
export const longInterval: HeartbeatInterval = {heartbeatMilliseconds: 700, silentAfterMilliseconds: 2500};

/**
Returns the pace of beats between two daemons. Daemons of one zone take each other's cells over, and an owner of a cell and the holders of its jobs wait for each other; the others only pass on what they have heard.

@param peer Undefined while nothing was heard of it.

@example
```
paceBetween({zone: 'ie-south-a', isOwner: false}, {zone: 'ie-south-b', isOwner: true}).beatMilliseconds; // => 200
```
*/
export const heartbeatIntervalBetween = (self: DaemonRole, peer: DaemonRole | undefined): HeartbeatInterval =>
	peer === undefined || self.zone === peer.zone || self.isOwner || peer.isOwner ? shortInterval : longInterval;
