import type {GuardReason, GuardState} from './guard-state.js';

/**
What a daemon says of itself on its operators' port.
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
	/** Submissions without an answer. */
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
A peer as a daemon last heard it.
*/
export type PeerStatus = {
	readonly instance: string;
	readonly state: string;
	readonly isReachable: boolean;
};

/**
The waiting tasks and slots of one service on a daemon.
*/
export type ServiceStatus = {
	readonly service: string;
	readonly waiting: number;
	/** Slots that the daemon may use, its own and borrowed ones. */
	readonly usable: number;
	readonly busy: number;
	readonly free: number;
	readonly endpoints: readonly EndpointStatus[];
};

/**
An endpoint as a daemon sees it.
*/
export type EndpointStatus = {
	readonly address: string;
	readonly zone: string;
	readonly owned: number;
	readonly lent: number;
	readonly borrowed: number;
	readonly busy: number;
	/** Whether the endpoint may get new tasks; not while it is leaving. */
	readonly isOpen: boolean;
	readonly guard: GuardStatus;
};

/**
The circuit breaker of an endpoint on one daemon.
*/
export type GuardStatus = {
	readonly state: GuardState;
	/** Why the breaker is not closed. */
	readonly reason?: GuardReason;
};
