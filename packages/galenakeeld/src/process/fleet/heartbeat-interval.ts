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

/** Between the owner of a cell and the daemons of its zone, which take the cell over when the owner fails. */
export const shortInterval: HeartbeatInterval = {heartbeatMilliseconds: 200, silentAfterMilliseconds: 700};
/** Between an owner and the daemons of other zones, whose jobs it may run, and between the other daemons of a zone. */
export const mediumInterval: HeartbeatInterval = {heartbeatMilliseconds: 300, silentAfterMilliseconds: 900};
/** Between all others, to limit heartbeat traffic, which grows with the square of the fleet size. */
export const longInterval: HeartbeatInterval = {heartbeatMilliseconds: 1000, silentAfterMilliseconds: 3000};

/**
Returns the heartbeat interval between two daemons. Daemons of one zone take over each other's cells, and the owner of a cell and the holders of its jobs wait for each other. All other daemons only pass on addresses of peers.

@param peer Undefined until its first heartbeat arrives.

@example
```
heartbeatIntervalBetween({zone: 'ie-south-a', isOwner: false}, {zone: 'ie-south-b', isOwner: true}).heartbeatMilliseconds; // => 300
```
*/
export const heartbeatIntervalBetween = (self: DaemonRole, peer: DaemonRole | undefined): HeartbeatInterval => {
	if (peer === undefined) {
		return shortInterval;
	}

	const isSameZone = self.zone === peer.zone;
	const hasOwner = self.isOwner || peer.isOwner;
	if (isSameZone && hasOwner) {
		return shortInterval;
	}

	return isSameZone || hasOwner ? mediumInterval : longInterval;
};
