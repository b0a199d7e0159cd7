import type {Outcome} from '@galenakeel/model/request/outcome.js';

/**
One task of a bench run, with the time at which a caller sends it.
*/
export type Arrival = {
	/** Name in the history of the endpoints. */
	readonly name: string;
	/** Time since the start of the run, in milliseconds. */
	readonly at: number;
	/** Position of the daemon that the caller is connected to. */
	readonly daemon: number;
	readonly kind: string;
	readonly team: string;
	/** Run time on an endpoint of speed 1. */
	readonly runMilliseconds: number;
	/** Whether the task is one of those that run many times longer than their kind. */
	readonly isLong: boolean;
};

/**
What a caller saw of one arrival.
*/
export type ArrivalResult = {
	readonly outcome: Outcome;
	readonly status: number;
	/** Time by which the load generator sent the task too late. */
	readonly latenessMilliseconds: number;
	/** Time from the sending of the task to the whole answer. */
	readonly responseMilliseconds: number;
};
