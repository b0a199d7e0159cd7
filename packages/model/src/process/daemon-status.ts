import type {GuardReason, GuardState} from './guard-state.js';

/**
Status that a daemon serves on its operator port.
*/
export type DaemonStatus = {
	readonly instance: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly state: string;
	readonly catalogueVersion: number;
	readonly documents: ReadonlyArray<{readonly service: string; readonly version: number}>;
	readonly peers: readonly PeerStatus[];
	readonly services: readonly ServiceStatus[];
	/** Submissions that have not been answered yet. */
	readonly unanswered: number;
	readonly leavingEndpoints: readonly string[];
	readonly messages: ControlMessageCounts;
};

/**
Control messages that a daemon has sent to its peers since it started.
*/
export type ControlMessageCounts = {
	readonly heartbeats: number;
	/** Requests and replies that borrow or return slots. */
	readonly slotCalls: number;
};

/**
State of a peer according to its last heartbeat.
*/
export type PeerStatus = {
	readonly instance: string;
	readonly state: string;
	readonly isReachable: boolean;
};

/**
Waiting tasks and slots of one service on a daemon.
*/
export type ServiceStatus = {
	readonly service: string;
	readonly waiting: number;
	/** Slots that the daemon may use, both its own and borrowed ones. */
	readonly usable: number;
	readonly busy: number;
	readonly free: number;
	readonly endpoints: readonly EndpointStatus[];
};

/**
State of an endpoint according to a daemon.
*/
export type EndpointStatus = {
	readonly address: string;
	readonly zone: string;
	readonly owned: number;
	readonly lent: number;
	readonly borrowed: number;
	readonly busy: number;
	/** Whether the endpoint may be given new tasks; false while it is leaving. */
	readonly isOpen: boolean;
	readonly guard: GuardStatus;
};

/**
A daemon's circuit breaker for an endpoint.
*/
export type GuardStatus = {
	readonly state: GuardState;
	/** Why the breaker is not closed. */
	readonly reason?: GuardReason;
};
