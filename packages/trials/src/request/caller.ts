import {isOutcome, Outcome} from '@galenakeel/model/request/outcome.js';
import {call, type CallOptions, type HttpReply} from '@galenakeel/stand-ins/connection/http-json.js';

/**
What a caller learned about one submission.
*/
export type CallerResult = {
	readonly outcome: Outcome;
	readonly status: number;
	/** The whole answer; empty when none came. */
	readonly text: string;
	/** Whether an answer began and was cut. */
	readonly isCut: boolean;
	readonly durationMilliseconds: number;
	readonly retryAfterSeconds: number | undefined;
};

const outcomeOf = (reply: HttpReply): Outcome => {
	// The outcome of an answer that was passed on in parts follows it.
	const value = String(reply.headers['galenakeel-outcome'] ?? reply.trailers['galenakeel-outcome'] ?? '');
	return isOutcome(value) ? value : Outcome.OutcomeUnknown;
};

const connectionRefused = 'ECONNREFUSED';

const outcomeOfError = (error: unknown): Outcome =>
	error instanceof Error && 'code' in error && error.code === connectionRefused ? Outcome.NotRun : Outcome.OutcomeUnknown;

/**
Sends one request as a caller and says what may be concluded from what came back.

@example
```
const result = await submitAsCaller('127.0.0.1:8000', 'PUT', '/v1/jobs/sheet-2041', {body});
```
*/
export const submitAsCaller = async (address: string, method: string, path: string, options: CallOptions = {}): Promise<CallerResult> => {
	const startedAt = performance.now();
	try {
		const reply = await call(address, method, path, options);
		const retryAfter = reply.headers['retry-after'];
		return {
			outcome: outcomeOf(reply),
			status: reply.status,
			text: reply.text,
			isCut: false,
			durationMilliseconds: performance.now() - startedAt,
			retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
		};
	} catch (error) {
		return {
			outcome: outcomeOfError(error),
			status: 0,
			text: '',
			isCut: error instanceof Error && error.message === 'aborted',
			durationMilliseconds: performance.now() - startedAt,
			retryAfterSeconds: undefined,
		};
	}
};
