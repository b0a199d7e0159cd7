import VError from 'verror';

/**
Kinds of faults that the dispatcher reports.
*/
export enum FaultKind {
	/** The request is malformed. */
	MalformedRequest = 'malformed-request',
	/** A header, body or job exceeds its size limit. */
	TooLarge = 'too-large',
	/** The caller's version of HTTP has no framing for an answer of unknown length. */
	HttpVersion = 'http-version',
	/** No document in force defines the service. */
	UnknownService = 'unknown-service',
	/** The identifier is malformed, or was never issued. */
	BadIdentifier = 'bad-identifier',
	/** The identifier was already used for a submission with different content. */
	IdentifierMismatch = 'identifier-mismatch',
	/** No instance holds a submission with this identifier. */
	UnknownIdentifier = 'unknown-identifier',
	/** The service has no endpoint that could run the task. */
	NoEndpoint = 'no-endpoint',
	/** The task takes longer than its deadline or time-out allows. */
	NeverRunnable = 'never-runnable',
	/** The expected wait exceeds the deadline or the queue limit. */
	Overloaded = 'overloaded',
	/** The deadline passed while the task was waiting. */
	DeadlinePassed = 'deadline-passed',
	/** The caller cancelled the submission. */
	Cancelled = 'cancelled',
	/** The endpoint didn't answer within the time-out of the service. */
	EndpointTimeout = 'endpoint-timeout',
	/** The connection to the endpoint broke before the answer was complete. */
	EndpointBroken = 'endpoint-broken',
	/** No connection to any endpoint of the service could be opened. */
	EndpointUnreachable = 'endpoint-unreachable',
	/** The instance incarnation that holds the identifier has ended or is unreachable. */
	HolderUnreachable = 'holder-unreachable',
	/** The claim of the identifier could not be written to the platform's table. */
	ClaimUnavailable = 'claim-unavailable',
	/** The submission ran, but its answer is no longer stored. */
	AnswerDiscarded = 'answer-discarded',
	/** The instance is shutting down. */
	Leaving = 'leaving',
	/** Settings or a document failed validation. */
	InvalidConfiguration = 'invalid-configuration',
	/** Another operator has changed the document in the meantime. */
	DocumentConflict = 'document-conflict',
	/** The platform's table or object store did not answer. */
	PlatformUnavailable = 'platform-unavailable',
	/** An entry instance did not answer a request of the command line. */
	InstanceUnreachable = 'instance-unreachable',
	/** The job uses a feature that this version doesn't support. */
	UnsupportedJob = 'unsupported-job',
	/** An internal error of the dispatcher. */
	Internal = 'internal',
}

/**
Advice to the reader of a fault, by kind.
*/
export const remedies: Readonly<Record<FaultKind, string>> = {
	[FaultKind.MalformedRequest]: 'Correct the request as the detail says, then send it again.',
	[FaultKind.HttpVersion]: 'Use HTTP/1.1, which frames an answer whose length is not known at its start.',
	[FaultKind.TooLarge]: 'Send a smaller request, or split the job.',
	[FaultKind.UnknownService]: 'Check the name of the service, or have its operators accept a document for it.',
	[FaultKind.BadIdentifier]: 'Use an identifier of 1 to 200 letters, digits, dots, colons, hyphens and underscores, or ask for a minted one.',
	[FaultKind.IdentifierMismatch]: 'Submit other work under an identifier of its own; repeat a submission unchanged.',
	[FaultKind.UnknownIdentifier]: 'Check the identifier; submit the job if it was never submitted.',
	[FaultKind.NoEndpoint]: 'Have the operators of the service add endpoints to its document.',
	[FaultKind.NeverRunnable]: 'Grant a longer deadline, or raise the time-out in the service document.',
	[FaultKind.Overloaded]: 'Send the request again after the time in Retry-After.',
	[FaultKind.DeadlinePassed]: 'Grant a longer deadline, or send the request again when load is lower.',
	[FaultKind.Cancelled]: 'Submit again under a new identifier if the work is still wanted.',
	[FaultKind.EndpointTimeout]: 'Ask the back end whether the task ran before you submit it again under a new identifier.',
	[FaultKind.EndpointBroken]: 'Ask the back end whether the task ran before you submit it again under a new identifier.',
	[FaultKind.EndpointUnreachable]: 'Send the request again; have the operators check the endpoints of the service.',
	[FaultKind.HolderUnreachable]: 'Repeat the same identifier later, or ask the back end whether the tasks ran.',
	[FaultKind.ClaimUnavailable]: 'Repeat the same identifier later; it never starts twice.',
	[FaultKind.AnswerDiscarded]: 'Ask the back end for the result; the identifier never runs again.',
	[FaultKind.Leaving]: 'Send the request to another instance.',
	[FaultKind.InvalidConfiguration]: 'Correct the places named in the detail.',
	[FaultKind.DocumentConflict]: 'Show the document in force, merge the change, and accept it again.',
	[FaultKind.PlatformUnavailable]: 'Check the platform\'s address in the settings and its state, then try again.',
	[FaultKind.InstanceUnreachable]: 'Check the address, and see with "galenakeel status" which instances answer.',
	[FaultKind.UnsupportedJob]: 'Leave out what the detail names, or run a version that dispatches it.',
	[FaultKind.Internal]: 'Report the identifier of the request to the maintainers.',
};

/**
An error with a kind, so that code can handle it without parsing its message.
*/
export type Fault = VError & {readonly name: FaultKind};

const faultKinds: ReadonlySet<string> = new Set(Object.values(FaultKind));

/**
Checks whether a string is a fault kind.
*/
export const isFaultKind = (value: string): value is FaultKind => faultKinds.has(value);

/**
Creates a fault whose message states the problem and the remedy.

@example
```
throw createFault(FaultKind.UnknownService, 'no document names the service "paysheet"');
```
*/
export const createFault = (kind: FaultKind, detail: string, cause?: unknown): Fault => {
	const options = {name: kind, info: {detail}, ...(cause instanceof Error && {cause})};
	const error = new VError(options, '%s. %s', detail, remedies[kind]);
	return Object.assign(error, {name: kind});
};

/**
Checks whether a value is a fault, optionally of a given kind.

@example
```
if (isFault(error, FaultKind.Overloaded)) { … }
```
*/
export const isFault = (value: unknown, kind?: FaultKind): value is Fault =>
	value instanceof VError && faultKinds.has(value.name) && (kind ?? value.name) === value.name;

/**
Returns the message of an error; for a fault, without the remedy.
*/
export const detailOf = (error: unknown): string => {
	if (isFault(error)) {
		return String(VError.info(error).detail);
	}

	return error instanceof Error ? error.message : String(error);
};
