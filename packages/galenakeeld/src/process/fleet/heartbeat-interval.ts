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

/** Between an owner of a cell and all others: daemons of its zone take the cell over when it fails, and it keeps the leases of a holder's runs only while it hears the holder. */
export const shortInterval: HeartbeatInterval = {heartbeatMilliseconds: 200, silentAfterMilliseconds: 700};
/** Between daemons of a zone that own no cell. */
export const mediumInterval: HeartbeatInterval = {heartbeatMilliseconds: 400, silentAfterMilliseconds: 1200};
/** Between all others, to limit heartbeat traffic, which grows with the square of the fleet size. */
export const longInterval: HeartbeatInterval = {heartbeatMilliseconds: 2000, silentAfterMilliseconds: 6000};

/**
Returns the heartbeat interval between two daemons. Daemons of one zone take over each other's cells, and the owner of a cell and the holders of its jobs wait for each other. All other daemons only pass on addresses of peers.

@param peer Undefined until its first heartbeat arrives.

@example
```
heartbeatIntervalBetween({zone: 'ie-south-a', isOwner: false}, {zone: 'ie-south-b', isOwner: true}).heartbeatMilliseconds; // => 200
```
*/
export const heartbeatIntervalBetween = (self: DaemonRole, peer: DaemonRole | undefined): HeartbeatInterval => {
	if (peer === undefined) {
		return shortInterval;
	}

	if (self.isOwner || peer.isOwner) {
		return shortInterval;
	}

	return self.zone === peer.zone ? mediumInterval : longInterval;
};
