import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';

/**
What a caller asks for.
*/
export enum CallerRequestKind {
	/** A request for an endpoint of a service. */
	Relay = 'relay',
	/** A new minted identifier. */
	Mint = 'mint',
	/** A job under a minted identifier. */
	SubmitNew = 'submit-new',
	/** A job under an identifier that the caller has. */
	Submit = 'submit',
	/** The state of a job. */
	Show = 'show',
	/** The end of a job. */
	Cancel = 'cancel',
}

/**
A caller's request, told apart by its method and path.
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
Tells what a caller asks for.

@throws A fault of kind `MalformedRequest` when the path or method means nothing here.

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
