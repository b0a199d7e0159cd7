/**
The hops of a request.
*/
export enum SpanName {
	/** A request of a caller, until its answer is written. */
	CallerRequest = 'caller request',
	/** The wait of a task for a slot. */
	SlotWait = 'slot wait',
	/** One task sent to an endpoint, until its answer. */
	EndpointExchange = 'endpoint exchange',
	/** A submission handed to the instance that holds its identifier. */
	Forward = 'forward to holder',
	/** The run of a submission by its holder. */
	HolderRun = 'holder run',
}

/**
Attributes of a span.
*/
export type SpanFacts = Readonly<Record<string, string | number>>;

/**
A place in a trace under which spans begin.
*/
export type TraceScope = {
	/** W3C trace context to pass on; the empty string when the request is not traced here. */
	readonly traceparent: string;
	readonly begin: (name: SpanName, facts?: SpanFacts) => TraceSpan;
};

/**
A span that has begun; further spans begin under it.
*/
export type TraceSpan = TraceScope & {
	/** Ends the span; a fault marks it as failed. */
	readonly end: (facts?: SpanFacts, fault?: string) => void;
};

/**
Creates the scope of an incoming request from its W3C trace context; the empty string begins a trace.
*/
export type OpenTrace = (traceparent: string) => TraceScope;

/**
The scope of requests that are not traced; it costs no allocation.
*/
export const untraced: TraceSpan = {
	traceparent: '',
	begin: () => untraced,
	end() {
		// Nothing was begun.
	},
};

/**
Opens scopes without spans, which pass the caller's trace context on unchanged.
*/
export const openUntraced: OpenTrace = traceparent => {
	if (traceparent === '') {
		return untraced;
	}

	const span: TraceSpan = {
		...untraced, traceparent, begin: () => span,
	};
	return span;
};
