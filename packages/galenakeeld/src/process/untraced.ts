import type {OpenTrace, TraceSpan} from '../request/trace-scope.js';

/**
No-op span of requests that are not traced. It is shared, so that no allocation is needed.
*/
export const untraced: TraceSpan = {
	traceparent: '',
	begin: () => untraced,
	end() {
		// No span was started.
	},
};

/**
Creates scopes that record no spans and pass the caller's trace context on unchanged.
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
