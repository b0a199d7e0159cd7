/**
How often a daemon sends heartbeats to a peer, and when their absence counts as a loss.
*/
export type HeartbeatInterval = {
	readonly heartbeatMilliseconds: number;
	/** Time without a heartbeat after which the peer treats this daemon as lost. */
	readonly silentAfterMilliseconds: number;
};

/**
The properties of a daemon that determine the heartbeat interval.
*/
export type DaemonRole = {
	readonly zone: string;
	/** It owns at least one cell. */
	readonly isOwner: boolean;
};

/** Between daemons that must detect each other's failure quickly. */
export const shortInterval: HeartbeatInterval = {heartbeatMilliseconds: 200, silentAfterMilliseconds: 700};
/** Between all others, to limit heartbeat traffic, which grows with the square of the fleet size. */
export const longInterval: HeartbeatInterval = {heartbeatMilliseconds: 700, silentAfterMilliseconds: 2500};

/**
Returns the heartbeat interval between two daemons. Daemons of one zone take over each other's cells, and the owner of a cell and the holders of its jobs wait for each other. All other daemons only pass on addresses of peers.

@param peer Undefined until its first heartbeat arrives.

@example
```
heartbeatIntervalBetween({zone: 'ie-south-a', isOwner: false}, {zone: 'ie-south-b', isOwner: true}).heartbeatMilliseconds; // => 200
```
*/
export const heartbeatIntervalBetween = (self: DaemonRole, peer: DaemonRole | undefined): HeartbeatInterval =>
	peer === undefined || self.zone === peer.zone || self.isOwner || peer.isOwner ? shortInterval : longInterval;
