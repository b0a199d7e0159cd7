import {setTimeout as sleep} from 'node:timers/promises';
import {call, type CallOptions, type HttpReply} from '@galenakeel/stand-ins/connection/http-json.js';

/** Time from the departure of a caller until the end of its connection reaches the daemon. Exceeds the longest time for which a job runs on. */
const endDelayMilliseconds = 12_000;

const leaveAfter = async (milliseconds: number): Promise<never> => {
	await sleep(milliseconds);
	throw new DOMException('the caller left without closing its connection', 'TimeoutError');
};

/**
Sends a request like `call`, and leaves after the time-out without closing the connection, which ends 12 s later.

@throws An error when the connection breaks or the time-out passes before the response is complete.

@example
```
const {status} = await callSilently('127.0.0.1:8002', 'POST', path, {body, timeoutMilliseconds: 1500});
```
*/
export const callSilently = async (address: string, method: string, path: string, options: CallOptions & {readonly timeoutMilliseconds: number}): Promise<HttpReply> => {
	const {timeoutMilliseconds} = options;
	return Promise.race([
		call(address, method, path, {...options, timeoutMilliseconds: timeoutMilliseconds + endDelayMilliseconds}),
		leaveAfter(timeoutMilliseconds),
	]);
};
