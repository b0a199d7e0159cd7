import type {OpenTrace, TraceSpan} from '../request/trace-scope.js';

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
