import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';

/**
The operations of the HTTP interface for callers.
*/
export enum CallerRequestKind {
	/** Relays a single request to an endpoint of a service. */
	Relay = 'relay',
	/** Mints an identifier for a job. */
	Mint = 'mint',
	/** Submits a job under a newly minted identifier. */
	SubmitNew = 'submit-new',
	/** Submits a job under an identifier given by the caller. */
	Submit = 'submit',
	/** Returns the state of a job. */
	Show = 'show',
	/** Cancels a job. */
	Cancel = 'cancel',
}

/**
The operation of a request with the parameters from its path.
*/
export type CallerRoute
	= | {readonly kind: CallerRequestKind.Relay; readonly service: string; readonly path: string}
		| {readonly kind: CallerRequestKind.Mint | CallerRequestKind.SubmitNew}
		| {readonly kind: CallerRequestKind.Submit | CallerRequestKind.Show | CallerRequestKind.Cancel; readonly identifier: string};

const servicePath = /^\/v1\/services\/(?<service>[\w.\-]{1,100})(?<path>\/.*)?$/v;
const jobPath = /^\/v1\/jobs\/(?<identifier>[^\/?]+)$/v;

const parseJobRoute = (method: string, identifier: string): CallerRoute => {
	switch (method) {
		case 'PUT': {
			return {kind: CallerRequestKind.Submit, identifier};
		}

		case 'GET': {
			return {kind: CallerRequestKind.Show, identifier};
		}

		case 'DELETE': {
			return {kind: CallerRequestKind.Cancel, identifier};
		}

		default: {
			throw createFault(FaultKind.MalformedRequest, `a job has no method ${method}; it has PUT, GET and DELETE`);
		}
	}
};

/**
Parses the method and path of a request.

@throws A fault of kind `MalformedRequest` when the path is unknown or does not support the method, or of kind `BadIdentifier` when the identifier is not valid percent-encoding.

@example
```
parseCallerRoute('PUT', '/v1/jobs/sheet-2041'); // => {kind: CallerRequestKind.Submit, identifier: 'sheet-2041'}
```
*/
export const parseCallerRoute = (method: string, url: string): CallerRoute => {
	const relayed = servicePath.exec(url)?.groups;
	if (relayed) {
		return {kind: CallerRequestKind.Relay, service: relayed.service!, path: relayed.path ?? '/'};
	}

	const job = jobPath.exec(url)?.groups;
	if (job) {
		return parseJobRoute(method, decodeIdentifier(job.identifier!));
	}

	if (method === 'POST' && url === '/v1/job-identifiers') {
		return {kind: CallerRequestKind.Mint};
	}

	if (method === 'POST' && url === '/v1/jobs') {
		return {kind: CallerRequestKind.SubmitNew};
	}

	throw createFault(FaultKind.MalformedRequest, `${method} ${url} is not a path of the dispatcher; requests go to /v1/services/SERVICE/…, jobs to /v1/jobs`);
};

const decodeIdentifier = (text: string): string => {
	try {
		return decodeURIComponent(text);
	} catch {
		throw createFault(FaultKind.BadIdentifier, `"${text}" is not percent-encoded text`);
	}
};
