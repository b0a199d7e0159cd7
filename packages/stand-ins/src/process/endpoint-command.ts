import type {EndpointBehaviour, EndpointStart} from './endpoint-stand-in.js';

/**
Kinds of commands from the parent to a process that runs endpoint stand-ins.
*/
export enum EndpointCommandKind {
	/** Start an endpoint. */
	Start = 'start',
	/** Change the behaviour of an endpoint. */
	SetBehaviour = 'behave',
}

/**
A command to a process that runs endpoint stand-ins.
*/
export type EndpointCommand
	= | {readonly kind: EndpointCommandKind.Start; readonly address: string; readonly options: {slots: number; speed: number; connections: number}}
		| {readonly kind: EndpointCommandKind.SetBehaviour; readonly address: string; readonly behaviour: EndpointBehaviour};

/**
A report of the process: the address of an endpoint that has begun to listen, and the task starts since the last report.
*/
export type EndpointReport = {readonly listening?: string; readonly starts: readonly EndpointStart[]};
