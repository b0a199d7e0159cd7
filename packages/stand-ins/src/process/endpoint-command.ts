import type {EndpointBehaviour, EndpointStart} from './endpoint-stand-in.js';

/**
What the parent asks of a process that holds endpoints.
*/
export enum EndpointCommandKind {
	/** Start an endpoint. */
	Start = 'start',
	/** Change how an endpoint misbehaves. */
	SetBehaviour = 'behave',
}

/**
A command to a process that holds endpoints.
*/
export type EndpointCommand
	= | {readonly kind: EndpointCommandKind.Start; readonly address: string; readonly options: {slots: number; speed: number; connections: number}}
		| {readonly kind: EndpointCommandKind.SetBehaviour; readonly address: string; readonly behaviour: EndpointBehaviour};

/**
What the process reports: an endpoint that listens now, and the starts since the last report.
*/
export type EndpointReport = {readonly listening?: string; readonly starts: readonly EndpointStart[]};
