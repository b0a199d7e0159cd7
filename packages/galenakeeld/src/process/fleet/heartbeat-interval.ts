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

/**
Why two daemons have to detect each other's loss sooner than their roles ask for.
*/
export enum Urgency {
	/** Their roles decide. */
	None = 'none',
	/** One of them holds jobs that are assigned to the other. Leases of a silent holder's runs end within a second anyway. */
	Jobs = 'jobs',
	/** A daemon of the zone has to claim a cell and must know who is alive. */
	RollCall = 'roll-call',
}

/** Where a loss has to be detected quickly: that of an owner by its zone. */
export const shortInterval: HeartbeatInterval = {heartbeatMilliseconds: 200, silentAfterMilliseconds: 700};
/** Between owners of different zones, which redirect jobs to each other, and between an owner and the holder of jobs at it. */
export const mediumInterval: HeartbeatInterval = {heartbeatMilliseconds: 400, silentAfterMilliseconds: 1200};
/** Between all others, to limit heartbeat traffic, which grows with the square of the fleet size. */
export const longInterval: HeartbeatInterval = {heartbeatMilliseconds: 3000, silentAfterMilliseconds: 4500};

/**
Returns how soon a daemon needs to detect the loss of a peer, as the interval at which that peer has to send heartbeats. Daemons of a zone take over the cells of an owner; an owner and the holder of jobs that are assigned to it wait for each other.

@param peer Undefined until its first heartbeat arrives.

@example
```
neededIntervalOf({zone: 'north', isOwner: false}, {zone: 'north', isOwner: true}, Urgency.None).silentAfterMilliseconds; // => 700
```
*/
export const neededIntervalOf = (self: DaemonRole, peer: DaemonRole | undefined, urgency: Urgency): HeartbeatInterval => {
	if (peer === undefined || urgency === Urgency.RollCall) {
		return shortInterval;
	}

	const isOfZone = self.zone === peer.zone;
	if (isOfZone && peer.isOwner) {
		return shortInterval;
	}

	const areOwners = !isOfZone && self.isOwner && peer.isOwner;
	return areOwners || urgency === Urgency.Jobs ? mediumInterval : longInterval;
};

/**
Returns the interval at which a daemon sends heartbeats to a peer: the longest one with which the peer detects a loss as soon as it needs to.

@param neededSilenceMilliseconds The silence that the peer stated in its last heartbeat.

@example
```
heartbeatIntervalBetween({zone: 'north', isOwner: true}, {zone: 'south', isOwner: false}, 4500, Urgency.None).heartbeatMilliseconds; // => 3000
```
*/
export const heartbeatIntervalBetween = (self: DaemonRole, peer: DaemonRole | undefined, neededSilenceMilliseconds: number, urgency: Urgency): HeartbeatInterval => {
	// The peer's role may have changed since it stated its need.
	const byRoles = peer === undefined ? shortInterval : neededIntervalOf(peer, self, urgency);
	const silenceMilliseconds = Math.min(neededSilenceMilliseconds, byRoles.silentAfterMilliseconds);
	return [longInterval, mediumInterval].find(({silentAfterMilliseconds}) => silentAfterMilliseconds <= silenceMilliseconds) ?? shortInterval;
};
