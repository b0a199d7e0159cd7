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

/** Where a loss has to be detected quickly: that of an owner by its zone, and those of an owner and of a holder of jobs at it by each other. */
export const shortInterval: HeartbeatInterval = {heartbeatMilliseconds: 200, silentAfterMilliseconds: 700};
/** Between owners of different zones, which redirect jobs to each other. */
export const mediumInterval: HeartbeatInterval = {heartbeatMilliseconds: 400, silentAfterMilliseconds: 1200};
/** Between all others, to limit heartbeat traffic, which grows with the square of the fleet size. */
export const longInterval: HeartbeatInterval = {heartbeatMilliseconds: 2000, silentAfterMilliseconds: 4500};

const hasInterval = (silenceMilliseconds: number) => ({silentAfterMilliseconds}: HeartbeatInterval): boolean => silentAfterMilliseconds <= silenceMilliseconds;

/**
Returns how soon a daemon needs to detect the loss of a peer, as the interval at which that peer has to send heartbeats. Daemons of a zone take over the cells of an owner; an owner and the holder of jobs that are assigned to it wait for each other.

@param peer Undefined until its first heartbeat arrives.
@param isUrgent Whether jobs are assigned between the two, or the daemon has to find out which peers are alive.

@example
```
neededIntervalOf({zone: 'north', isOwner: false}, {zone: 'north', isOwner: true}, false).silentAfterMilliseconds; // => 700
```
*/
export const neededIntervalOf = (self: DaemonRole, peer: DaemonRole | undefined, isUrgent: boolean): HeartbeatInterval => {
	if (peer === undefined || isUrgent) {
		return shortInterval;
	}

	if (self.zone === peer.zone) {
		return peer.isOwner ? shortInterval : longInterval;
	}

	return self.isOwner && peer.isOwner ? mediumInterval : longInterval;
};

/**
Returns the interval at which a daemon sends heartbeats to a peer: the longest one with which the peer detects a loss as soon as it needs to.

@param neededSilenceMilliseconds The silence that the peer stated in its last heartbeat.
@param isUrgent As in `neededIntervalOf`.

@example
```
heartbeatIntervalBetween({zone: 'north', isOwner: true}, {zone: 'south', isOwner: false}, 4500, false).heartbeatMilliseconds; // => 2000
```
*/
export const heartbeatIntervalBetween = (self: DaemonRole, peer: DaemonRole | undefined, neededSilenceMilliseconds: number, isUrgent: boolean): HeartbeatInterval => {
	// The peer's role may have changed since it stated its need.
	const byRoles = peer === undefined ? shortInterval : neededIntervalOf(peer, self, isUrgent);
	return [longInterval, mediumInterval].find(interval => hasInterval(Math.min(neededSilenceMilliseconds, byRoles.silentAfterMilliseconds))(interval)) ?? shortInterval;
};
